/// \file
/// \brief Tests of which connections of clients are closed for others.

#include "yuccamoor/coordination/fleet/connection_budget.h"

#include <catch2/catch.hpp>

#include "yuccamoor/coordination/fleet/resource_shares.h"

namespace yuccamoor::fleet {
namespace {

constexpr ConnectionId kA{1};
constexpr ConnectionId kB{2};
constexpr ConnectionId kC{3};
constexpr ConnectionId kD{4};
constexpr TimeMs kStart{1'000};
constexpr TimeMs kSoon{1'500};
constexpr TimeMs kLater{9'000};

ConnectionBudget Budget(std::size_t max_descriptors) {
  ConnectionBudgetOptions options;
  options.max_descriptors = max_descriptors;
  return ConnectionBudget(options);
}

}  // namespace

// Failure: slow clients kept connections that others would have used.
TEST_CASE("Connections are closed in the order of their use", "[clients]") {
  ConnectionBudget budget = Budget(1);
  budget.Add(kA, kStart);
  budget.Set(kA, ConnectionPhase::kReceiving, 1, kStart);
  budget.Add(kB, kSoon);
  budget.Set(kB, ConnectionPhase::kIdle, 100, kSoon);
  budget.Add(kC, kLater - DurationMs(300));
  budget.Add(kD, kLater);
  CHECK(budget.TakeExcess(kLater) == kA);
  CHECK(budget.TakeExcess(kLater) == kC);
  CHECK(budget.TakeExcess(kLater) == kB);
  CHECK_FALSE(budget.TakeExcess(kLater).has_value());
  CHECK(budget.connections() == 1);
}

// Failure: a crowd of new connections closed a request under way.
TEST_CASE("A connection that is served is not closed", "[clients]") {
  ConnectionBudget budget = Budget(2);
  budget.Add(kA, kStart);
  budget.Set(kA, ConnectionPhase::kServed, 100, kStart);
  budget.Add(kB, kLater);
  CHECK_FALSE(budget.IsWithin());
  CHECK(budget.TakeExcess(kLater) == kB);
  CHECK(budget.IsWithin());
  SECTION("and frees the descriptor of its call at its end") {
    budget.Set(kA, ConnectionPhase::kIdle, 200, kLater);
    budget.Add(kC, kLater);
    CHECK(budget.IsWithin());
  }
}

// Failure: a client that sends much was taken for a slow one.
TEST_CASE("A client that makes progress is not stalled", "[clients]") {
  ConnectionBudget budget = Budget(1);
  budget.Add(kA, kStart);
  budget.Set(kA, ConnectionPhase::kReceiving, 1, kStart);
  budget.Set(kA, ConnectionPhase::kReceiving, 9'000, kLater);
  budget.Add(kB, kStart);
  budget.Set(kB, ConnectionPhase::kReceiving, 1, kStart);
  budget.Set(kB, ConnectionPhase::kReceiving, 9, kLater);
  CHECK(budget.TakeExcess(kLater) == kB);
}

// Failure: VMs of any size had the same budgets.
TEST_CASE("Budgets follow the settings of the VM", "[clients]") {
  NodeSettings settings;
  const ResourceShares unknown = ResourceShares::For(settings);
  CHECK(unknown.messages.max_bytes == MessageBudgetOptions().max_bytes);
  settings.max_memory_bytes = 125'829'120;
  settings.max_descriptors = 3'075;
  const ResourceShares shares = ResourceShares::For(settings);
  CHECK(shares.messages.max_bytes * 4 <= settings.max_memory_bytes);
  CHECK(shares.clients.max_descriptors + 2 * shares.status.max_descriptors +
            shares.max_idle_calls <
        settings.max_descriptors - 200);
}

}  // namespace yuccamoor::fleet
