/// \file
/// \brief Orders the adapters that wait to be loaded by what their loads are
/// worth to the clients.
///
/// While more adapters are asked for than the weight store brings, the order
/// decides who is served on time. First come, first served would make nearly
/// everyone late: each request would wait for all that came before.

#ifndef YUCCAMOOR_COORDINATION_FLEET_LOAD_RANKING_H_
#define YUCCAMOOR_COORDINATION_FLEET_LOAD_RANKING_H_

#include <cstdint>

#include "yuccamoor/state/clock.h"

namespace yuccamoor::fleet {

/// The requests that wait for one adapter.
struct LoadDemand {
  std::uint32_t requests = 0;
  /// The adapter has to be in place by then for the newest request to be on
  /// time.
  TimeMs ready_deadline;
  /// 0 is the most urgent.
  int priority = 0;
  /// When the first of them asked.
  TimeMs first_requested_at;
};

/// What a load that ends at \p ready is worth, in requests that are late.
double LoadValue(const LoadDemand& demand, TimeMs ready);

/// Whether the first should be loaded before the second. Of equal values, the
/// one that has waited longest comes first.
bool LoadsBefore(const LoadDemand& first, const LoadDemand& second,
                 TimeMs ready);

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_LOAD_RANKING_H_
