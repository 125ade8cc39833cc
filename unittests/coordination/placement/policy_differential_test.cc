/// \file
/// \brief Plays whole runs of the placement benchmark's fakes: the policies
/// serve the same requests, only sooner or later, and keep the store's limits.

#include <catch2/catch.hpp>
#include <memory>
#include <tuple>
#include <utility>

#include "lower_bound.h"
#include "run.h"
#include "scenario.h"
#include "workload.h"
#include "yuccamoor/coordination/placement/cell_view.h"
#include "yuccamoor/coordination/placement/naive_policy.h"
#include "yuccamoor/coordination/placement/weighted_policy.h"

namespace yuccamoor::placement_benchmark {
namespace {

std::unique_ptr<PlacementPolicy> MakeNaive() {
  return std::move(NaivePolicy::Create({}).value());
}

std::unique_ptr<PlacementPolicy> MakeWeighted() {
  return std::move(WeightedPolicy::Create({}).value());
}

/// Never loads every tenth adapter: a planted fault.
class ForgetfulPolicy final : public PlacementPolicy {
 public:
  std::string_view Name() const override { return "forgetful"; }
  void OnDemand(const AdapterVersion& target, std::uint32_t requests,
                TimeMs now) override {
    m_inner->OnDemand(target, requests, now);
  }
  PlacementDecision Decide(const CellState& state, TimeMs now) override {
    PlacementDecision decision = m_inner->Decide(state, now);
    std::erase_if(decision.loads, [](const LoadDecision& load) {
      return load.target.adapter.str().back() == '0';
    });
    return decision;
  }

 private:
  std::unique_ptr<PlacementPolicy> m_inner = MakeWeighted();
};

/// Lets the weighted policy see the longest wait only, so that it can't choose:
/// a planted fault.
class FirstComePolicy final : public PlacementPolicy {
 public:
  std::string_view Name() const override { return "first come"; }
  void OnDemand(const AdapterVersion& target, std::uint32_t requests,
                TimeMs now) override {
    m_inner->OnDemand(target, requests, now);
  }
  PlacementDecision Decide(const CellState& state, TimeMs now) override {
    if (LoadAllowance(state, now) == 0) return m_inner->Decide(state, now);
    const WaitingTarget* oldest = nullptr;
    for (const auto& [target, waiting] : state.waiting) {
      if (!IsDue(waiting, now) || IsLoadUnderWay(state, target)) continue;
      if (HasBatchRoom(state, target)) continue;
      if (oldest == nullptr || std::tie(waiting.since, target) <
                                   std::tie(oldest->since, oldest->target)) {
        oldest = &waiting;
      }
    }
    CellState narrowed = state;
    std::erase_if(narrowed.waiting, [&](const auto& entry) {
      return oldest == nullptr || entry.first != oldest->target;
    });
    return m_inner->Decide(narrowed, now);
  }

 private:
  std::unique_ptr<PlacementPolicy> m_inner = MakeWeighted();
};

std::unique_ptr<PlacementPolicy> MakeFirstCome() {
  return std::make_unique<FirstComePolicy>();
}

Scenario Light(ScenarioKind kind) {
  Scenario scenario;
  scenario.kind = kind;
  scenario.deployment = Karabag();
  scenario.load_factor = 0.4;
  scenario.duration = DurationMs(120'000);
  scenario.warm_up = DurationMs(0);
  scenario.seed = 3;
  return scenario;
}

/// Gives every request time enough, so that only a policy can lose it.
Workload Patient(const Scenario& scenario) {
  Workload workload = MakeWorkload(scenario);
  for (CallerRequest& request : workload.requests) {
    request.deadline = request.arrival + DurationMs(120'000);
  }
  return workload;
}

std::uint64_t CountUnanswered(const Scenario& scenario,
                              const PolicyFactory& make) {
  const Workload workload = Patient(scenario);
  const Samples samples = Play(scenario, workload, make);
  CHECK(samples.orders.rejected == 0);
  return workload.requests.size() - samples.answered;
}

TEST_CASE("Policies serve the same requests while the store keeps up",
          "[placement]") {
  const auto kind =
      GENERATE(ScenarioKind::kSteady, ScenarioKind::kPopularityShift,
               ScenarioKind::kWorkerRestarts, ScenarioKind::kFailingLoads,
               ScenarioKind::kLeaderKill, ScenarioKind::kDomainLoss);
  const Scenario scenario = Light(kind);
  INFO(ToString(kind));
  CHECK(CountUnanswered(scenario, MakeNaive) == 0);
  CHECK(CountUnanswered(scenario, MakeWeighted) == 0);
  const auto forgetful = [] { return std::make_unique<ForgetfulPolicy>(); };
  CHECK(CountUnanswered(scenario, forgetful) > 0);
}

TEST_CASE("Every request ends once, and the store's limits are kept",
          "[placement]") {
  Scenario scenario = Light(ScenarioKind::kSteady);
  scenario.load_factor = 4;
  const Workload workload = MakeWorkload(scenario);
  for (const auto& make : {MakeNaive, MakeWeighted}) {
    std::uint32_t most_in_flight = 0;
    const Samples samples =
        Play(scenario, workload, make, [&](const CellState& state, TimeMs) {
          most_in_flight = std::max(most_in_flight, state.store.in_flight);
        });
    CHECK(samples.answered + samples.expired + samples.refused ==
          workload.requests.size());
    CHECK(most_in_flight <= 8);
    const double seconds = 120 + 60;
    CHECK(samples.orders.loads <= 1 + seconds * 2.5);
  }
}

TEST_CASE("Each objective weight buys its measure", "[placement]") {
  Scenario scenario = Light(ScenarioKind::kSteady);
  scenario.deployment = Atlas();
  scenario.load_factor = 2;
  const Workload workload = MakeWorkload(scenario);
  scenario.deployment.weights = {1, 0};
  const Figures stalls = MakeFigures(Play(scenario, workload, MakeWeighted));
  scenario.deployment.weights = {0, 1};
  const Figures fill = MakeFigures(Play(scenario, workload, MakeWeighted));
  CHECK(stalls.stall_ms.mean < 0.95 * fill.stall_ms.mean);
  CHECK(fill.batch_fill > 1.25 * stalls.batch_fill);
  // The baseline takes no notice of the weights, and must not pass.
  const Figures naive = MakeFigures(Play(scenario, workload, MakeNaive));
  scenario.deployment.weights = {1, 0};
  const Figures other = MakeFigures(Play(scenario, workload, MakeNaive));
  CHECK(naive.batch_fill == other.batch_fill);
}

struct Goal {
  ScenarioKind kind;
  double load_factor;
  double stall_ratio;
};

TEST_CASE("Load stalls stay within the goals beside the baseline",
          "[placement]") {
  const auto goal =
      GENERATE(values<Goal>({{ScenarioKind::kSteady, 1, 0.55},
                             {ScenarioKind::kSteady, 2, 0.65},
                             {ScenarioKind::kSteady, 4, 0.65},
                             {ScenarioKind::kPopularityShift, 2, 0.65},
                             {ScenarioKind::kWorkerRestarts, 1, 0.55},
                             {ScenarioKind::kFailingLoads, 1, 0.55}}));
  Scenario scenario = Light(goal.kind);
  scenario.load_factor = goal.load_factor;
  scenario.duration = DurationMs(300'000);
  scenario.warm_up = DurationMs(60'000);
  const Workload workload = MakeWorkload(scenario);
  const double bound = LowerBoundMs(scenario, workload);
  const Figures naive = MakeFigures(Play(scenario, workload, MakeNaive));
  const Figures weighted = MakeFigures(Play(scenario, workload, MakeWeighted));
  INFO(ToString(goal.kind) << " at " << goal.load_factor);
  CHECK(weighted.stall_ms.mean <= goal.stall_ratio * naive.stall_ms.mean);
  CHECK(weighted.stall_ms.mean >= bound);
  const Figures faulty = MakeFigures(Play(scenario, workload, MakeFirstCome));
  CHECK(faulty.stall_ms.mean > goal.stall_ratio * naive.stall_ms.mean);
}

TEST_CASE("After a power cut the mean stall stays near the bound",
          "[placement]") {
  Scenario scenario = Light(ScenarioKind::kPowerCut);
  // The store sets the pace at the smaller skew, the engines at the larger.
  scenario.skew = GENERATE(1.0, 1.2);
  const Workload workload = MakeWorkload(scenario);
  const double bound = LowerBoundMs(scenario, workload);
  const Figures weighted = MakeFigures(Play(scenario, workload, MakeWeighted));
  INFO("skew " << scenario.skew);
  CHECK(weighted.stall_ms.mean >= bound);
  CHECK(weighted.stall_ms.mean <= 1.5 * bound);
}

TEST_CASE("The check after a power cut finds a policy that can't choose",
          "[placement]") {
  Scenario scenario = Light(ScenarioKind::kPowerCut);
  scenario.skew = 1.2;
  const Workload workload = MakeWorkload(scenario);
  const double bound = LowerBoundMs(scenario, workload);
  const Figures faulty = MakeFigures(Play(scenario, workload, MakeFirstCome));
  CHECK(faulty.stall_ms.mean > 1.5 * bound);
}

}  // namespace
}  // namespace yuccamoor::placement_benchmark
