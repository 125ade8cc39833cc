/// \file
/// \brief The requests of one run, drawn from a seed before it starts, so that
/// every policy meets the same ones.

#ifndef YUCCAMOOR_BENCHMARKS_PLACEMENT_WORKLOAD_H_
#define YUCCAMOOR_BENCHMARKS_PLACEMENT_WORKLOAD_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "scenario.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"
#include "yuccamoor/state/priority.h"

namespace yuccamoor::placement_benchmark {

/// Tokens of the shortest answer.
constexpr std::uint32_t kLeastTokens = 40;

/// Index of an adapter in Workload::targets.
using TargetIndex = std::uint32_t;

/// One caller's request.
struct CallerRequest {
  TimeMs arrival;
  /// The caller leaves if it has no whole answer by then.
  TimeMs deadline;
  TargetIndex target = 0;
  std::uint32_t tokens = 0;
};

/// Index of a request in Workload::requests.
using RequestIndex = std::uint32_t;

/// What arrives during one run, in order of arrival.
struct Workload {
  std::vector<AdapterVersion> targets;
  std::unordered_map<AdapterVersion, TargetIndex> index_of;
  /// Priority class by target.
  std::vector<Priority> priorities;
  std::vector<CallerRequest> requests;
};

/// Draws the scenario's requests.
Workload MakeWorkload(const Scenario& scenario);

}  // namespace yuccamoor::placement_benchmark

#endif  // YUCCAMOOR_BENCHMARKS_PLACEMENT_WORKLOAD_H_
