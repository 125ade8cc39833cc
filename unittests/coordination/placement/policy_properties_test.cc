/// \file
/// \brief Properties of every placement policy over random cell states, and
/// planted faults that the check must find.

#include <catch2/catch.hpp>
#include <functional>
#include <pcg_random.hpp>

#include "coordination/placement/decision_check.h"
#include "coordination/placement/policy_fixture.h"

namespace yuccamoor::testing {
namespace {

constexpr TimeMs kNow(1'000'000);
constexpr int kStates = 3'000;

SlotState RandomSlot(pcg32* random) {
  SlotState slot = ReadySlot(Target(static_cast<int>((*random)(30))),
                             kNow - DurationMs((*random)(60'000)));
  slot.phase = static_cast<SlotPhase>((*random)(4));
  slot.since = kNow - DurationMs((*random)(1'000));
  slot.running = (*random)(3);
  slot.grants = (*random)(3);
  const bool leaving =
      slot.phase == SlotPhase::kDraining || slot.phase == SlotPhase::kEvicting;
  if (leaving && (*random)(2) == 0) {
    slot.successor = Target(static_cast<int>((*random)(30)));
  }
  return slot;
}

CellState RandomState(pcg32* random) {
  CellState state =
      MakeCell(1 + static_cast<int>((*random)(6)), 1 + (*random)(4));
  state.store.tokens = (*random)(4) + 0.5 * (*random)(2);
  state.store.burst = 4;
  state.store.in_flight = (*random)(9);
  state.weights = {0.5 * (*random)(3), 0.5 * (*random)(3)};
  for (WorkerState& worker : state.workers) {
    worker.usable = (*random)(5) != 0;
    worker.batch_capacity = 1 + (*random)(8);
    const std::uint32_t used = (*random)(worker.slots + 1);
    for (std::uint32_t i = 0; i < used; ++i) {
      const SlotState slot = RandomSlot(random);
      if (FindSlot(worker, slot.target) != nullptr) continue;
      worker.running += slot.running;
      worker.occupied.push_back(slot);
    }
  }
  const std::uint32_t waiting = (*random)(60);
  for (std::uint32_t i = 0; i < waiting; ++i) {
    AddWaiting(&state, Target(static_cast<int>((*random)(80))),
               1 + (*random)(5), kNow - DurationMs((*random)(20'000)),
               kNow + DurationMs((*random)(40'000)) - DurationMs(5'000));
  }
  return state;
}

/// Returns the state with its waiting targets inserted in another order.
CellState Reordered(const CellState& state) {
  CellState other = state;
  other.waiting.clear();
  other.waiting.rehash(997);
  std::vector<AdapterVersion> names;
  for (const auto& [target, waiting] : state.waiting) names.push_back(target);
  for (const AdapterVersion& name : names) {
    other.waiting[name] = state.waiting.at(name);
  }
  return other;
}

TEST_CASE("No policy breaks a rule in any of many random states",
          "[placement]") {
  for (std::size_t p = 0; p < AllPolicies().size(); ++p) {
    const auto policy = std::move(AllPolicies()[p]);
    pcg32 random(11);
    std::size_t loads = 0;
    std::size_t victims = 0;
    for (int i = 0; i < kStates; ++i) {
      const CellState state = RandomState(&random);
      const TimeMs now = kNow;
      policy->OnDemand(Target(static_cast<int>(random(80))), 1, now);
      const PlacementDecision decision = policy->Decide(state, now);
      INFO(policy->Name() << " state " << i);
      const std::vector<std::string> wrong = CheckDecision(state, decision);
      for (const std::string& rule : wrong) FAIL_CHECK(rule);
      REQUIRE(wrong.empty());
      loads += decision.loads.size();
      for (const LoadDecision& load : decision.loads) {
        victims += load.victim.has_value() ? 1 : 0;
      }
    }
    CHECK(loads > 500);
    CHECK(victims > 50);
  }
}

TEST_CASE("The same input gives the same decision", "[placement]") {
  pcg32 random(12);
  for (int i = 0; i < 300; ++i) {
    const CellState state = RandomState(&random);
    const CellState reordered = Reordered(state);
    for (std::size_t p = 0; p < AllPolicies().size(); ++p) {
      const auto one = AllPolicies()[p]->Decide(state, kNow);
      const auto two = AllPolicies()[p]->Decide(reordered, kNow);
      REQUIRE(one.loads.size() == two.loads.size());
      for (std::size_t l = 0; l < one.loads.size(); ++l) {
        CHECK(one.loads[l].target == two.loads[l].target);
        CHECK(one.loads[l].worker == two.loads[l].worker);
        CHECK(one.loads[l].victim == two.loads[l].victim);
      }
    }
  }
}

/// A policy's decision with a fault planted into it.
struct PlantedFault {
  std::string rule;
  std::function<void(CellState*, PlacementDecision*)> plant;
};

TEST_CASE("The check finds planted faults", "[placement]") {
  const auto fault = GENERATE(values<PlantedFault>({
      {"victim in use",
       [](CellState* s, PlacementDecision*) {
         s->workers[0].occupied[0].running = 1;
       }},
      {"victim not ready",
       [](CellState* s, PlacementDecision*) {
         s->workers[0].occupied[0].phase = SlotPhase::kDraining;
       }},
      {"unusable worker",
       [](CellState* s, PlacementDecision*) { s->workers[0].usable = false; }},
      {"not wanted",
       [](CellState* s, PlacementDecision*) { s->waiting.clear(); }},
      {"under way",
       [](CellState* s, PlacementDecision* d) {
         SlotState slot = ReadySlot(d->loads[0].target, kNow);
         slot.phase = SlotPhase::kLoading;
         s->workers[1].occupied.push_back(slot);
       }},
      {"over the rate",
       [](CellState* s, PlacementDecision*) { s->store.tokens = 0.9; }},
      {"over the loads in flight",
       [](CellState* s, PlacementDecision*) { s->store.in_flight = 8; }},
      {"twice", [](CellState*,
                   PlacementDecision* d) { d->loads.push_back(d->loads[0]); }},
      {"victim twice",
       [](CellState*, PlacementDecision* d) {
         d->loads.push_back(d->loads[0]);
       }},
      {"no free slot",
       [](CellState*, PlacementDecision* d) { d->loads[0].victim.reset(); }},
      {"refused and loaded",
       [](CellState*, PlacementDecision* d) {
         d->refusals.push_back({d->loads[0].target, DurationMs(1)});
       }},
  }));
  CellState state = MakeCell(2, 1);
  state.workers[1].usable = false;
  state.workers[0].occupied = {ReadySlot(Target(1), kNow)};
  AddWaiting(&state, Target(2), 1, kNow, kNow + DurationMs(30'000));
  for (const auto& policy : AllPolicies()) {
    PlacementDecision decision = policy->Decide(state, kNow);
    REQUIRE(decision.loads.size() == 1);
    REQUIRE(CheckDecision(state, decision).empty());
    CellState faulty = state;
    fault.plant(&faulty, &decision);
    const auto wrong = CheckDecision(faulty, decision);
    INFO(fault.rule);
    CHECK(std::count(wrong.begin(), wrong.end(), fault.rule) == 1);
  }
}

}  // namespace
}  // namespace yuccamoor::testing
