/// \file
/// \brief A prompt that waits for its admission to an engine.

#ifndef YUCCAMOOR_COORDINATION_FLEET_PENDING_PROMPT_H_
#define YUCCAMOOR_COORDINATION_FLEET_PENDING_PROMPT_H_

#include <compare>
#include <cstdint>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor::fleet {

/// Identifies a request for admission: the node, and its number there.
struct AdmissionId {
  NodeId node;
  std::uint64_t number = 0;

  friend auto operator<=>(const AdmissionId&, const AdmissionId&) = default;
};

/// A prompt that a node wants to send.
struct PendingPrompt {
  AdmissionId id;
  std::uint32_t tokens = 0;
  /// 0 is the highest priority.
  int priority = 0;
  /// The prompt has to be sent by this time for its request to be on time.
  TimeMs send_by;
  /// Empty if the request has none.
  TenantId tenant;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_PENDING_PROMPT_H_
