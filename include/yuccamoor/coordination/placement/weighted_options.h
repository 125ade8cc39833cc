/// \file
/// \brief Settings of the weighted placement policy.

#ifndef YUCCAMOOR_COORDINATION_PLACEMENT_WEIGHTED_OPTIONS_H_
#define YUCCAMOOR_COORDINATION_PLACEMENT_WEIGHTED_OPTIONS_H_

#include <cstddef>
#include <cstdint>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/finding.h"

namespace yuccamoor {

/// Settings of the weighted policy.
struct WeightedOptions {
  /// Counters per row of the frequency sketch.
  std::size_t sketch_width = 4'096;
  /// Time in which past demand loses half of its weight.
  DurationMs half_life{120'000};
  /// Deadline that is assumed for waiters that name none.
  DurationMs assumed_deadline{30'000};
  /// Time that an answer takes once its adapter is there. Waiters with less
  /// time left are past help.
  DurationMs answer_time{1'500};
  /// Waiting that a request is spared when it finds its adapter resident.
  DurationMs stall_per_miss{2'000};
  /// Worth of an answer within its deadline, beyond the waiting saved.
  DurationMs answer_worth{20'000};
  /// Time for which a loaded target is expected to stay resident.
  DurationMs residence{15'000};
  /// Cost of giving work to a worker that has none while many targets wait, for
  /// the batch efficiency weight.
  DurationMs idle_worker_cost{8'000};
  /// Time between two looks for waiters whose turn comes too late.
  DurationMs refusal_interval{1'000};
  /// Weights of one waiter of each priority class.
  double interactive_weight = 1.3;
  double normal_weight = 1.0;
  double background_weight = 0.75;
  /// Most loads proposed by one decision.
  std::uint32_t max_loads_per_decision = 8;
};

/// Returns what is wrong with the options; empty if nothing is.
Findings Check(const WeightedOptions& options);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_PLACEMENT_WEIGHTED_OPTIONS_H_
