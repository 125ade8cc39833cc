/// \file
/// \brief A lower bound of the mean load stall, worked out from the store's
/// rate: no policy can do better, even one that knows the future.

#ifndef YUCCAMOOR_BENCHMARKS_PLACEMENT_LOWER_BOUND_H_
#define YUCCAMOOR_BENCHMARKS_PLACEMENT_LOWER_BOUND_H_

#include "scenario.h"
#include "workload.h"

namespace yuccamoor::placement_benchmark {

/// Returns the bound in milliseconds for the measured requests.
///
/// In a window of length T at most slots + rate * T + burst adapters can be
/// resident at any time. Requests of the window for others wait until its end
/// or for their whole deadline. Keeping the adapters whose requests would wait
/// most leaves the least unavoidable waiting; the sum over disjoint windows is
/// a bound, and the largest over several T is taken.
///
/// After a power cut nothing is resident. Loads then end no earlier than one by
/// one at the store's rate, and serving the largest crowds first leaves the
/// least waiting.
double LowerBoundMs(const Scenario& scenario, const Workload& workload);

}  // namespace yuccamoor::placement_benchmark

#endif  // YUCCAMOOR_BENCHMARKS_PLACEMENT_LOWER_BOUND_H_
