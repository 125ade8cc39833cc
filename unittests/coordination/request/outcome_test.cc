/// \file
/// \brief Tests of attempts, outcomes and the rule of retries.

#include "yuccamoor/coordination/request/outcome.h"

#include <catch2/catch.hpp>
#include <stdexcept>

#include "yuccamoor/coordination/request/retry_budget.h"

namespace yuccamoor {
namespace {

using Event = void (Attempt::*)();

struct AttemptCase {
  const char* name;
  std::vector<Event> events;
  Outcome outcome;
  /// Whether a retry is allowed to an idempotent and to another request.
  bool retry_idempotent;
  bool retry_other;
};

const AttemptCase kAttemptCases[] = {
    {"created", {}, Outcome::kNotRun, false, false},
    {"not sent", {&Attempt::OnNotSent}, Outcome::kNotRun, true, true},
    {"lost before dispatch", {&Attempt::OnLost}, Outcome::kNotRun, true, true},
    {"dispatched", {&Attempt::OnDispatch}, Outcome::kUnknown, false, false},
    {"answered",
     {&Attempt::OnDispatch, &Attempt::OnAnswer},
     Outcome::kAnswered,
     false,
     false},
    {"refused",
     {&Attempt::OnDispatch, &Attempt::OnRefused},
     Outcome::kNotRun,
     true,
     false},
    {"answer lost",
     {&Attempt::OnDispatch, &Attempt::OnLost},
     Outcome::kUnknown,
     true,
     false},
};

}  // namespace

TEST_CASE("An attempt's outcome follows from its events", "[outcome]") {
  for (const AttemptCase& c : kAttemptCases) {
    INFO(c.name);
    Attempt attempt;
    for (Event event : c.events) (attempt.*event)();
    CHECK(attempt.outcome() == c.outcome);
    RetryBudget budget({});
    RetryRule rule;
    CHECK(rule.MayRetry(attempt, 1, TimeMs(1'000), TimeMs(0), budget) ==
          c.retry_idempotent);
    rule.idempotent = false;
    CHECK(rule.MayRetry(attempt, 1, TimeMs(1'000), TimeMs(0), budget) ==
          c.retry_other);
  }
}

TEST_CASE("Events that do not fit an attempt's state throw", "[outcome]") {
  Attempt attempt;
  CHECK_THROWS_AS(attempt.OnAnswer(), std::logic_error);
  attempt.OnDispatch();
  CHECK_THROWS_AS(attempt.OnDispatch(), std::logic_error);
  CHECK_THROWS_AS(attempt.OnNotSent(), std::logic_error);
}

TEST_CASE("Retries stop at their bounds", "[outcome]") {
  Attempt lost;
  lost.OnLost();
  RetryBudget budget({});
  const RetryRule rule;
  CHECK_FALSE(
      rule.MayRetry(lost, rule.max_attempts, TimeMs(1'000), TimeMs(0), budget));
  CHECK_FALSE(rule.MayRetry(lost, 1, TimeMs(10), TimeMs(0), budget));
  while (budget.TryTake(TimeMs(0))) continue;
  CHECK_FALSE(rule.MayRetry(lost, 1, TimeMs(1'000), TimeMs(0), budget));
}

TEST_CASE("A retry budget earns a share of successes", "[outcome]") {
  RetryBudgetOptions options;
  options.share = 0.1;
  options.min_per_second = 0;
  options.burst = 2;
  RetryBudget budget(options);
  CHECK(budget.TryTake(TimeMs(0)));
  CHECK(budget.TryTake(TimeMs(0)));
  CHECK_FALSE(budget.TryTake(TimeMs(0)));
  for (int i = 0; i < 11; ++i) budget.OnSuccess(TimeMs(0));
  CHECK(budget.TryTake(TimeMs(0)));
  CHECK_FALSE(budget.TryTake(TimeMs(0)));
}

}  // namespace yuccamoor
