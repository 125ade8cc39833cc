/// \file
/// \brief Tests of the bounds that the benchmark compares policies with.

#include "residency_bound.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <string>
#include <utility>

#include "run.h"
#include "scenario.h"
#include "workload.h"
#include "yuccamoor/coordination/placement/naive_policy.h"
#include "yuccamoor/coordination/placement/weighted_policy.h"

namespace yuccamoor::placement_benchmark {
namespace {

/// One worker with one slot, and a store that loads once in 100 s.
Scenario OneSlot() {
  Scenario scenario;
  scenario.deployment = {"one-slot", 1, 0.01, {1.0, 0.0}};
  scenario.slots = 1;
  scenario.warm_up = DurationMs(0);
  return scenario;
}

void AddRequest(Workload* workload, TargetIndex target, std::int64_t arrival_ms,
                std::int64_t patience_ms) {
  while (workload->targets.size() <= target) {
    const std::string name = "a" + std::to_string(workload->targets.size());
    workload->targets.push_back({AdapterId(name), VersionId("v1")});
  }
  CallerRequest request;
  request.target = target;
  request.arrival = TimeMs(arrival_ms);
  request.deadline = TimeMs(arrival_ms + patience_ms);
  workload->requests.push_back(request);
}

TEST_CASE("The bounds know what the store can load", "[placement]") {
  // Twenty adapters with one caller each: one slot's first adapter, the burst
  // and what 10 s bring are 2.1 loads.
  Workload workload;
  for (TargetIndex i = 0; i < 20; ++i) AddRequest(&workload, i, 0, 10'000);
  const ResidencyBounds bounds = FindResidencyBounds(OneSlot(), workload);
  CHECK(bounds.answered_share == Approx(2.1 / 20).epsilon(0.01));
  CHECK(bounds.stall_ms == Approx(17.9 / 20 * 10'000).epsilon(0.01));
}

TEST_CASE("The bounds know that a slot holds one adapter", "[placement]") {
  // Two adapters that are asked for each second, while there are loads for
  // three stays only: half of the time each has to do without.
  Workload workload;
  for (std::int64_t at_ms = 0; at_ms < 100'000; at_ms += 1'000) {
    AddRequest(&workload, 0, at_ms, 1'000);
    AddRequest(&workload, 1, at_ms, 1'000);
  }
  const ResidencyBounds bounds = FindResidencyBounds(OneSlot(), workload);
  CHECK(bounds.answered_share < 0.54);
  CHECK(bounds.answered_share > 0.5);
  CHECK(bounds.stall_ms > 460);
  CHECK(bounds.stall_ms < 500);
}

TEST_CASE("No policy passes the bounds", "[placement]") {
  Scenario scenario;
  scenario.deployment = Karabag();
  scenario.load_factor = GENERATE(2, 4);
  scenario.seed = 5;
  const Workload workload = MakeWorkload(scenario);
  const ResidencyBounds bounds = FindResidencyBounds(scenario, workload);
  CHECK(bounds.stall_ms > 0);
  const auto naive = [] { return std::move(NaivePolicy::Create({}).value()); };
  const auto weighted = [] {
    return std::move(WeightedPolicy::Create({}).value());
  };
  for (const PolicyFactory& make :
       {PolicyFactory(naive), PolicyFactory(weighted)}) {
    const Figures figures = MakeFigures(Play(scenario, workload, make));
    CHECK(figures.answered_share <= bounds.answered_share);
    CHECK(figures.stall_ms.mean >= bounds.stall_ms);
  }
}

}  // namespace
}  // namespace yuccamoor::placement_benchmark
