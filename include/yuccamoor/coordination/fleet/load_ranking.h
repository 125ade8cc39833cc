/// \file
/// \brief Ranks pending adapter loads by their value to the waiting clients.
///
/// While adapters are requested faster than the weight store delivers them, the
/// load order decides which requests are served on time. First come, first
/// served would make nearly every request late, since each would wait for all
/// earlier ones.

#ifndef YUCCAMOOR_COORDINATION_FLEET_LOAD_RANKING_H_
#define YUCCAMOOR_COORDINATION_FLEET_LOAD_RANKING_H_

#include <cstdint>

#include "yuccamoor/state/clock.h"

namespace yuccamoor::fleet {

/// The pending requests for one adapter.
struct LoadDemand {
  std::uint32_t requests = 0;
  /// The adapter must be loaded by this time for the newest request to be on
  /// time.
  TimeMs ready_deadline;
  /// 0 is the highest priority.
  int priority = 0;
  /// When the first of these requests was made.
  TimeMs first_requested_at;
};

/// Returns the value of a load that completes at \p ready, in units of one late
/// request of priority 0.
double LoadValue(const LoadDemand& demand, TimeMs ready);

/// Returns whether \p first should be loaded before \p second, both completing
/// at \p ready. Ties in value go to the demand that has waited longest.
bool LoadsBefore(const LoadDemand& first, const LoadDemand& second,
                 TimeMs ready);

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_LOAD_RANKING_H_
