/// \file
/// \brief Implementation of the benchmark's scenarios.

#include "scenario.h"

#include <cmath>

namespace yuccamoor::placement_benchmark {

std::vector<ScenarioKind> AllScenarioKinds() {
  return {ScenarioKind::kSteady,       ScenarioKind::kPopularityShift,
          ScenarioKind::kPowerCut,     ScenarioKind::kWorkerRestarts,
          ScenarioKind::kFailingLoads, ScenarioKind::kKeyValueOutage,
          ScenarioKind::kLeaderKill,   ScenarioKind::kDomainLoss};
}

std::string ToString(ScenarioKind kind) {
  switch (kind) {
    case ScenarioKind::kSteady:
      return "steady";
    case ScenarioKind::kPopularityShift:
      return "shift";
    case ScenarioKind::kPowerCut:
      return "power-cut";
    case ScenarioKind::kWorkerRestarts:
      return "restarts";
    case ScenarioKind::kFailingLoads:
      return "failing-loads";
    case ScenarioKind::kKeyValueOutage:
      return "kv-outage";
    case ScenarioKind::kLeaderKill:
      return "leader-kill";
    case ScenarioKind::kDomainLoss:
      return "domain-loss";
  }
  return "unknown";
}

Deployment Karabag() { return {"karabag", 9, 2.5, {1.0, 0.0}}; }

Deployment Atlas() { return {"atlas", 12, 4.0, {0.4, 1.0}}; }

std::vector<double> ZipfShares(std::uint32_t count, double skew) {
  std::vector<double> shares(count);
  double sum = 0;
  for (std::uint32_t rank = 0; rank < count; ++rank) {
    shares[rank] = std::pow(rank + 1.0, -skew);
    sum += shares[rank];
  }
  for (double& share : shares) share /= sum;
  return shares;
}

double RequestRate(const Scenario& scenario) {
  const std::vector<double> shares =
      ZipfShares(scenario.adapters, scenario.skew);
  const std::uint32_t resident = scenario.deployment.workers * scenario.slots;
  double misses = 0;
  for (std::uint32_t rank = resident; rank < scenario.adapters; ++rank) {
    misses += shares[rank];
  }
  return scenario.load_factor * scenario.deployment.loads_per_second / misses;
}

}  // namespace yuccamoor::placement_benchmark
