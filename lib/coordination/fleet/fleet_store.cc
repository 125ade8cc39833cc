#include "yuccamoor/coordination/fleet/fleet_store.h"

namespace yuccamoor::fleet {

const char* ToText(StoreStatus status) {
  switch (status) {
    case StoreStatus::kOk:
      return "ok";
    case StoreStatus::kConflict:
      return "conflict";
    case StoreStatus::kLeaseEnded:
      return "lease_ended";
    case StoreStatus::kCompacted:
      return "history_gone";
    case StoreStatus::kRefused:
      return "refused";
    case StoreStatus::kUnknown:
      return "no_answer";
  }
  return "unknown";
}

}  // namespace yuccamoor::fleet
