/// \file
/// \brief Tests of which messages a node gives up when it keeps too much.

#include "yuccamoor/coordination/fleet/message_budget.h"

#include <catch2/catch.hpp>
#include <optional>

namespace yuccamoor::fleet {
namespace {

constexpr KeptMessageId kA{1};
constexpr KeptMessageId kB{2};
constexpr KeptMessageId kC{3};
constexpr TimeMs kStart{1'000};
constexpr TimeMs kLater{3'000};

// The size of a message of which nothing has gone yet.
KeptSize Size(std::size_t bytes) { return {bytes, bytes}; }

MessageBudget Budget() {
  MessageBudgetOptions options;
  options.max_bytes = 1'000;
  options.small_bytes = 100;
  options.stalled_after = DurationMs(1'000);
  options.progress_bytes = 10;
  return MessageBudget(options);
}

}  // namespace

TEST_CASE("Nothing is given up within the bound", "[fleet][endless]") {
  MessageBudget budget = Budget();
  budget.Set(kA, Size(600), kStart);
  budget.Set(kB, Size(400), kStart);
  CHECK(budget.bytes() == 1'000);
  CHECK_FALSE(budget.TakeExcess(kLater).has_value());
}

// Failure: each message was bounded, all of them together were not.
TEST_CASE("The message that keeps most is given up first", "[fleet][endless]") {
  MessageBudget budget = Budget();
  budget.Set(kA, Size(400), kStart);
  budget.Set(kB, Size(500), kStart);
  budget.Set(kC, Size(300), kStart);
  CHECK(budget.TakeExcess(kStart) == kB);
  CHECK(budget.bytes() == 700);
  CHECK_FALSE(budget.TakeExcess(kStart).has_value());
  SECTION("once, however it goes on") {
    budget.Set(kB, Size(5'000), kStart);
    CHECK(budget.bytes() == 700);
    CHECK_FALSE(budget.TakeExcess(kStart).has_value());
  }
  SECTION("and frees its bytes once") {
    budget.Remove(kB);
    CHECK(budget.bytes() == 700);
  }
}

TEST_CASE("A message that has stalled is given up before larger ones",
          "[fleet][endless]") {
  MessageBudget budget = Budget();
  budget.Set(kA, Size(300), kStart);
  budget.Set(kB, Size(400), kStart);
  // A byte now and then is no progress.
  for (std::size_t i = 0; i < 5; ++i) budget.Set(kA, Size(300 + i), kLater);
  budget.Set(kB, Size(800), kLater);
  CHECK(budget.TakeExcess(kLater) == kA);
}

TEST_CASE("A message that is taken as fast as it comes has not stalled",
          "[fleet][endless]") {
  MessageBudget budget = Budget();
  budget.Set(kA, {300, 300}, kStart);
  budget.Set(kB, {400, 400}, kStart);
  budget.Set(kA, {300, 5'000}, kLater);
  budget.Set(kB, {800, 800}, kLater);
  CHECK(budget.TakeExcess(kLater) == kB);
}

TEST_CASE("Small messages are never given up", "[fleet][endless]") {
  MessageBudget budget = Budget();
  for (std::uint64_t i = 10; i < 30; ++i) {
    budget.Set(KeptMessageId{i}, Size(99), kStart);
  }
  CHECK_FALSE(budget.TakeExcess(kLater).has_value());
  budget.Set(kA, Size(100), kLater);
  CHECK(budget.TakeExcess(kLater) == kA);
  CHECK_FALSE(budget.TakeExcess(kLater).has_value());
}

TEST_CASE("Messages that have ended free their bytes", "[fleet][endless]") {
  MessageBudget budget = Budget();
  budget.Set(kA, Size(900), kStart);
  budget.Remove(kA);
  budget.Remove(kB);
  budget.Set(kB, Size(900), kStart);
  CHECK(budget.bytes() == 900);
  CHECK_FALSE(budget.TakeExcess(kStart).has_value());
}

// Failure: requests that waited for an endpoint were given up for others that
// had not come yet.
TEST_CASE("A message that waits for the node is given up last",
          "[fleet][endless]") {
  MessageBudget budget = Budget();
  budget.Set(kA, {700, 700, true}, kStart);
  budget.Set(kB, Size(400), kLater);
  CHECK(budget.TakeExcess(kLater) == kB);
}

}  // namespace yuccamoor::fleet
