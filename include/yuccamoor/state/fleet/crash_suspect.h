/// \file
/// \brief What may make endpoints crash, whichever endpoint is sent it.

#ifndef YUCCAMOOR_STATE_FLEET_CRASH_SUSPECT_H_
#define YUCCAMOOR_STATE_FLEET_CRASH_SUSPECT_H_

#include <compare>
#include <cstdint>
#include <string>

namespace yuccamoor::fleet {

/// What a suspect is.
enum class SuspectKind : std::uint8_t {
  /// A part of prompts, whatever else a request holds.
  kPromptPart,
  /// A whole request, in whichever client attempt it comes.
  kRequest,
};

/// The kind's name in logs and messages.
const char* ToText(SuspectKind kind);

/// A part of prompts by its id, or a request by its digest.
struct CrashSuspect {
  SuspectKind kind = SuspectKind::kPromptPart;
  std::string id;

  friend auto operator<=>(const CrashSuspect&, const CrashSuspect&) = default;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_STATE_FLEET_CRASH_SUSPECT_H_
