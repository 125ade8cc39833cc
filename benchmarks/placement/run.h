/// \file
/// \brief Plays one scenario with one policy in virtual time.

#ifndef YUCCAMOOR_BENCHMARKS_PLACEMENT_RUN_H_
#define YUCCAMOOR_BENCHMARKS_PLACEMENT_RUN_H_

#include <functional>
#include <memory>

#include "measures.h"
#include "scenario.h"
#include "workload.h"
#include "yuccamoor/coordination/placement_policy.h"

namespace yuccamoor::placement_benchmark {

/// Makes a policy without statistics, as a new leader would.
using PolicyFactory = std::function<std::unique_ptr<PlacementPolicy>()>;

/// Called after each decision has been carried out, for checks.
using StateObserver = std::function<void(const CellState&, TimeMs)>;

/// Plays the scenario until its last request has ended.
Samples Play(const Scenario& scenario, const Workload& workload,
             const PolicyFactory& make_policy,
             const StateObserver& observe = nullptr);

}  // namespace yuccamoor::placement_benchmark

#endif  // YUCCAMOOR_BENCHMARKS_PLACEMENT_RUN_H_
