/// \file
/// \brief Bounds that no policy can pass, from prices on loads and on slots.

#ifndef YUCCAMOOR_BENCHMARKS_PLACEMENT_RESIDENCY_BOUND_H_
#define YUCCAMOOR_BENCHMARKS_PLACEMENT_RESIDENCY_BOUND_H_

#include "scenario.h"
#include "workload.h"

namespace yuccamoor::placement_benchmark {

/// What no policy can pass, even one that knows all requests beforehand.
struct ResidencyBounds {
  /// The largest share of the measured requests that can be answered.
  double answered_share = 1;
  /// The least mean stall of the measured requests in milliseconds.
  double stall_ms = 0;
};

/// Lets each adapter buy loads and slot time on its own at given prices. By
/// Lagrangian duality no schedule within the store's rate and the slots does
/// better than the sum of the best plans of all adapters plus the price of
/// what there is, whatever the prices; the prices that bound best are searched
/// for. Engines are taken as endlessly fast and loads as instantaneous, which
/// only loosens the bounds. Not for a power cut.
ResidencyBounds FindResidencyBounds(const Scenario& scenario,
                                    const Workload& workload);

}  // namespace yuccamoor::placement_benchmark

#endif  // YUCCAMOOR_BENCHMARKS_PLACEMENT_RESIDENCY_BOUND_H_
