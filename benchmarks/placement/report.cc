/// \file
/// \brief Implementation of the benchmark's report.

#include "report.h"

#include <iomanip>
#include <nlohmann/json.hpp>
#include <ostream>
#include <sstream>

namespace yuccamoor::placement_benchmark {
namespace {

std::string Fixed(double value, int digits) {
  std::ostringstream os;
  os << std::fixed << std::setprecision(digits) << value;
  return os.str();
}

/// Returns value / base, or "-" where there is no base.
std::string Ratio(double value, double base) {
  return base > 0 ? Fixed(value / base, 2) : "-";
}

nlohmann::json ToJson(const PolicyResult& result) {
  const Figures& f = result.figures;
  return {{"policy", result.policy},
          {"requests", f.requests},
          {"stall_mean_ms", f.stall_ms.mean},
          {"stall_p50_ms", f.stall_ms.p50},
          {"stall_p95_ms", f.stall_ms.p95},
          {"stall_p99_ms", f.stall_ms.p99},
          {"stall_before_mean_ms", f.stall_before_ms.mean},
          {"stall_before_p95_ms", f.stall_before_ms.p95},
          {"stall_after_mean_ms", f.stall_after_ms.mean},
          {"stall_after_p95_ms", f.stall_after_ms.p95},
          {"answered_share", f.answered_share},
          {"refused_share", f.refused_share},
          {"warm_share", f.warm_share},
          {"batch_fill", f.batch_fill},
          {"useful_fill", f.useful_fill},
          {"loads", f.orders.loads},
          {"evictions", f.orders.evictions},
          {"wasted_loads", f.orders.wasted_loads},
          {"rejected_proposals", f.orders.rejected},
          {"decision_us", f.decision_us},
          {"proposal_us", f.proposal_us}};
}

}  // namespace

void WriteTableHead(std::ostream& os) {
  os << "| deployment | scenario | slots | skew | load | policy | stall mean "
        "ms | /naive | /bound | p50 | p95 | p99 | answered | /naive | refused "
        "| fill | /naive | loads | evictions | wasted | rejected | decision "
        "us | proposal us |\n|";
  constexpr int kColumns = 23;
  for (int i = 0; i < kColumns; ++i) os << " --- |";
  os << '\n';
}

void WriteTableRows(std::ostream& os, const ScenarioResult& result) {
  const Figures& base = result.policies.front().figures;
  const Scenario& scenario = result.scenario;
  for (const PolicyResult& row : result.policies) {
    const Figures& f = row.figures;
    os << "| " << scenario.deployment.name << " | " << ToString(scenario.kind)
       << " | " << scenario.slots << " | " << Fixed(scenario.skew, 1) << " | "
       << Fixed(scenario.load_factor, 1) << " | " << row.policy << " | "
       << Fixed(f.stall_ms.mean, 0) << " | "
       << Ratio(f.stall_ms.mean, base.stall_ms.mean) << " | "
       << Ratio(f.stall_ms.mean, result.lower_bound_ms) << " | "
       << Fixed(f.stall_ms.p50, 0) << " | " << Fixed(f.stall_ms.p95, 0) << " | "
       << Fixed(f.stall_ms.p99, 0) << " | " << Fixed(f.answered_share, 3)
       << " | " << Ratio(f.answered_share, base.answered_share) << " | "
       << Fixed(f.refused_share, 3) << " | " << Fixed(f.batch_fill, 3) << " | "
       << Ratio(f.batch_fill, base.batch_fill) << " | " << f.orders.loads
       << " | " << f.orders.evictions << " | " << f.orders.wasted_loads << " | "
       << f.orders.rejected << " | " << Fixed(f.decision_us, 2) << " | "
       << Fixed(f.proposal_us, 2) << " |\n";
  }
  os.flush();
}

void WriteJson(std::ostream& os, const std::vector<ScenarioResult>& results) {
  nlohmann::json all = nlohmann::json::array();
  for (const ScenarioResult& result : results) {
    const Scenario& scenario = result.scenario;
    nlohmann::json policies = nlohmann::json::array();
    for (const PolicyResult& row : result.policies) {
      policies.push_back(ToJson(row));
    }
    all.push_back(
        {{"deployment", scenario.deployment.name},
         {"scenario", ToString(scenario.kind)},
         {"slots", scenario.slots},
         {"skew", scenario.skew},
         {"load_factor", scenario.load_factor},
         {"seed", scenario.seed},
         {"seeds", result.seeds},
         {"load_stalls_weight", scenario.deployment.weights.load_stalls},
         {"batch_efficiency_weight",
          scenario.deployment.weights.batch_efficiency},
         {"lower_bound_ms", result.lower_bound_ms},
         {"answered_bound", result.answered_bound},
         {"policies", policies}});
  }
  os << all.dump(2) << '\n';
}

}  // namespace yuccamoor::placement_benchmark
