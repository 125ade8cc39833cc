/// \file
/// \brief The benchmark's results as a table and as JSON.

#ifndef YUCCAMOOR_BENCHMARKS_PLACEMENT_REPORT_H_
#define YUCCAMOOR_BENCHMARKS_PLACEMENT_REPORT_H_

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include "measures.h"
#include "scenario.h"

namespace yuccamoor::placement_benchmark {

/// One policy's figures.
struct PolicyResult {
  std::string policy;
  Figures figures;
};

/// One scenario's figures over all seeds, the baseline first.
struct ScenarioResult {
  Scenario scenario;
  std::uint32_t seeds = 0;
  double lower_bound_ms = 0;
  /// The largest share of requests that any policy can answer.
  double answered_bound = 0;
  std::vector<PolicyResult> policies;
};

void WriteTableHead(std::ostream& os);
void WriteTableRows(std::ostream& os, const ScenarioResult& result);
void WriteJson(std::ostream& os, const std::vector<ScenarioResult>& results);

}  // namespace yuccamoor::placement_benchmark

#endif  // YUCCAMOOR_BENCHMARKS_PLACEMENT_REPORT_H_
