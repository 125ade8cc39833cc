/// \file
/// \brief Tests of what each placement policy picks in small cells.

#include <catch2/catch.hpp>

#include "coordination/placement/policy_fixture.h"

namespace yuccamoor::testing {
namespace {

constexpr TimeMs kNow(100'000);
constexpr TimeMs kDeadline(130'000);

TEST_CASE("The baseline serves the longest wait on the least loaded worker",
          "[placement]") {
  CellState state = MakeCell(2, 2);
  state.workers[0].running = 3;
  AddWaiting(&state, Target(1), 9, TimeMs(99'000), kDeadline);
  AddWaiting(&state, Target(2), 1, TimeMs(98'000), kDeadline);
  const auto policy = std::move(NaivePolicy::Create({}).value());
  const PlacementDecision decision = policy->Decide(state, kNow);
  REQUIRE(decision.loads.size() == 1);
  CHECK(decision.loads[0].target == Target(2));
  CHECK(decision.loads[0].worker == WorkerId("w1"));
  CHECK_FALSE(decision.loads[0].victim.has_value());
}

TEST_CASE("The baseline evicts the least recently used", "[placement]") {
  CellState state = MakeCell(1, 2);
  state.workers[0].occupied = {ReadySlot(Target(1), TimeMs(90'000)),
                               ReadySlot(Target(2), TimeMs(80'000))};
  AddWaiting(&state, Target(3), 1, TimeMs(99'000), kDeadline);
  const auto policy = std::move(NaivePolicy::Create({}).value());
  const PlacementDecision decision = policy->Decide(state, kNow);
  REQUIRE(decision.loads.size() == 1);
  CHECK(decision.loads[0].victim == Target(2));
}

TEST_CASE(
    "The weighted policy loads for the most waiters and evicts the least "
    "asked for",
    "[placement]") {
  CellState state = MakeCell(1, 2);
  state.workers[0].occupied = {ReadySlot(Target(1), TimeMs(90'000)),
                               ReadySlot(Target(2), TimeMs(80'000))};
  AddWaiting(&state, Target(3), 1, TimeMs(98'000), kDeadline);
  AddWaiting(&state, Target(4), 5, TimeMs(99'000), kDeadline);
  const auto policy = std::move(WeightedPolicy::Create({}).value());
  policy->OnDemand(Target(1), 1, TimeMs(90'000));
  policy->OnDemand(Target(2), 20, TimeMs(90'000));
  const PlacementDecision decision = policy->Decide(state, kNow);
  REQUIRE(decision.loads.size() == 1);
  CHECK(decision.loads[0].target == Target(4));
  CHECK(decision.loads[0].victim == Target(1));
}

TEST_CASE("A replica goes to a failure domain without one", "[placement]") {
  CellState state = MakeCell(4, 2);
  REQUIRE(state.workers[0].failure_domain == state.workers[3].failure_domain);
  state.workers[0].occupied = {ReadySlot(Target(1), kNow)};
  state.workers[0].running = state.workers[0].batch_capacity;
  // The least loaded worker shares the first replica's domain.
  state.workers[1].running = 4;
  state.workers[2].running = 2;
  AddWaiting(&state, Target(1), 4, TimeMs(99'000), kDeadline);
  const auto policy = std::move(WeightedPolicy::Create({}).value());
  const PlacementDecision decision = policy->Decide(state, kNow);
  REQUIRE(decision.loads.size() == 1);
  CHECK(decision.loads[0].target == Target(1));
  CHECK(decision.loads[0].worker == WorkerId("w2"));
}

TEST_CASE("No policy repeats what is under way", "[placement]") {
  CellState state = MakeCell(1, 2);
  AddWaiting(&state, Target(1), 1, TimeMs(99'000), kDeadline);
  SlotState slot = ReadySlot(Target(1), kNow);
  SECTION("a load") { slot.phase = SlotPhase::kLoading; }
  SECTION("a slot to be freed") {
    slot.target = Target(2);
    slot.phase = SlotPhase::kDraining;
    slot.successor = Target(1);
  }
  SECTION("a ready target with batch room") {}
  state.workers[0].occupied = {slot};
  for (const auto& policy : AllPolicies()) {
    CHECK(policy->Decide(state, kNow).loads.empty());
  }
}

}  // namespace
}  // namespace yuccamoor::testing
