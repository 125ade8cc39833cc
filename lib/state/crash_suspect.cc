#include "yuccamoor/state/fleet/crash_suspect.h"

namespace yuccamoor::fleet {

const char* ToText(SuspectKind kind) {
  switch (kind) {
    case SuspectKind::kPromptPart:
      return "prompt_part";
    case SuspectKind::kRequest:
      return "request";
  }
  return "unknown";
}

}  // namespace yuccamoor::fleet
