/// \file
/// \brief What a run of the placement benchmark plays: sizes, faults, load.

#ifndef YUCCAMOOR_BENCHMARKS_PLACEMENT_SCENARIO_H_
#define YUCCAMOOR_BENCHMARKS_PLACEMENT_SCENARIO_H_

#include <cstdint>
#include <string>
#include <vector>

#include "yuccamoor/state/cell_state.h"
#include "yuccamoor/state/clock.h"

namespace yuccamoor::placement_benchmark {

/// What goes wrong, or arrives all at once, during a run.
enum class ScenarioKind : std::uint8_t {
  kSteady,
  /// At half time other adapters become the popular ones.
  kPopularityShift,
  /// Every caller arrives within a second at empty workers.
  kPowerCut,
  /// Workers restart empty, one after another.
  kWorkerRestarts,
  /// A share of all loads fails at its end.
  kFailingLoads,
  /// Nothing is ordered for a minute.
  kKeyValueOutage,
  /// Nothing is ordered for some seconds and all statistics are lost.
  kLeaderKill,
  /// At half time the workers of one failure domain vanish for good.
  kDomainLoss,
};

/// Returns every kind, in the order of the report.
std::vector<ScenarioKind> AllScenarioKinds();

/// Failure domains of the workers, which take turns.
constexpr std::uint32_t kFailureDomains = 3;

/// Returns the kind's name in options and reports.
std::string ToString(ScenarioKind kind);

/// A deployment's sizes.
struct Deployment {
  std::string name;
  std::uint32_t workers = 0;
  double loads_per_second = 0;
  ObjectiveWeights weights;
};

/// Karabağ's asistan-model cell.
Deployment Karabag();
/// Atlas's conseil-llm cell.
Deployment Atlas();

/// One run.
struct Scenario {
  ScenarioKind kind = ScenarioKind::kSteady;
  Deployment deployment;
  std::uint32_t slots = 4;
  std::uint32_t batch_capacity = 16;
  std::uint32_t adapters = 3'000;
  /// The exponent of the popularity's Zipf distribution.
  double skew = 1.0;
  /// Load in units of the rate at which the store just keeps up with the
  /// misses of the best fixed set of resident adapters.
  double load_factor = 1.0;
  DurationMs duration{300'000};
  /// Requests that arrive earlier are played but not measured.
  DurationMs warm_up{60'000};
  std::uint64_t seed = 1;
};

/// Returns the popularity of each rank; sums to one.
std::vector<double> ZipfShares(std::uint32_t count, double skew);

/// Returns the rate of requests per second that the scenario plays.
double RequestRate(const Scenario& scenario);

}  // namespace yuccamoor::placement_benchmark

#endif  // YUCCAMOOR_BENCHMARKS_PLACEMENT_SCENARIO_H_
