/// \file
/// \brief What a run, or several with different seeds, measured.

#ifndef YUCCAMOOR_BENCHMARKS_PLACEMENT_MEASURES_H_
#define YUCCAMOOR_BENCHMARKS_PLACEMENT_MEASURES_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "cell_executor.h"

namespace yuccamoor::placement_benchmark {

/// Samples gathered over runs.
struct Samples {
  /// Time that each measured request waited for its adapter, in milliseconds;
  /// its whole deadline if it was refused or expired.
  std::vector<double> stalls_ms;
  /// Those of requests that arrived shortly before and after half time.
  std::vector<double> stalls_before_ms;
  std::vector<double> stalls_after_ms;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t expired = 0;
  /// Integral of running requests, and of the batch capacity of workers with
  /// at least one request running, both in request milliseconds.
  double running_ms = 0;
  double capacity_ms = 0;
  /// Part of running_ms that went into whole answers.
  double served_ms = 0;
  OrderCounts orders;
  /// Time of each decision, and of those with proposals, in microseconds.
  std::vector<double> decisions_us;
  std::vector<double> proposals_us;

  void Append(const Samples& other);
};

/// The distribution of one measure.
struct Distribution {
  double mean = 0;
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
};

/// Summarises samples with Boost.Accumulators.
Distribution Summarise(const std::vector<double>& samples);

/// Figures of one policy in one scenario.
struct Figures {
  std::size_t requests = 0;
  Distribution stall_ms;
  Distribution stall_before_ms;
  Distribution stall_after_ms;
  double answered_share = 0;
  double refused_share = 0;
  /// Requests that found their adapter resident and were answered.
  double warm_share = 0;
  /// Mean of running / batch capacity over workers with work.
  double batch_fill = 0;
  /// The part of batch_fill that went into answers within their deadlines.
  double useful_fill = 0;
  OrderCounts orders;
  double decision_us = 0;
  double proposal_us = 0;
};

Figures MakeFigures(const Samples& samples);

}  // namespace yuccamoor::placement_benchmark

#endif  // YUCCAMOOR_BENCHMARKS_PLACEMENT_MEASURES_H_
