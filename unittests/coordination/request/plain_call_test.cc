/// \file
/// \brief Tests of the driver of one plain call.

#include "yuccamoor/coordination/request/plain_call.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "yuccamoor/coordination/request/endpoint_set.h"
#include "yuccamoor/coordination/request/endpoint_tracker.h"
#include "yuccamoor/coordination/request/retry_budget.h"

namespace yuccamoor {
namespace {

/// A call over two endpoints. Events are letters: N not sent, D dispatched,
/// R refused, L lost, A answered, G caller gone.
class CallBench {
 public:
  explicit CallBench(bool idempotent, bool repeat = false) {
    m_set.OnConfig({{EndpointId("e1"), "10.0.0.1:80", {}, VmId("v1")},
                    {EndpointId("e2"), "10.0.0.2:80", {}, VmId("v2")}});
    PlainCallSpec spec;
    spec.request = RequestId("r");
    spec.idempotent = idempotent;
    if (!idempotent) spec.key = IdempotencyKey("k");
    if (repeat) spec.first_sent_ago = DurationMs(10);
    spec.deadline = TimeMs(1'000);
    m_call.emplace(spec, m_set, m_budget);
    Take(m_call->Start(0, m_now));
    if (!idempotent) Take(m_call->OnDispatchRight(0, m_now));
  }

  void Apply(char event) {
    switch (event) {
      case 'N':
        return Take(m_call->OnNotSent(m_attempt, 0, m_now));
      case 'D':
        m_dispatched = m_call->OnDispatch(m_attempt, m_now);
        return;
      case 'R':
        return Take(m_call->OnRefused(m_attempt, 0, m_now));
      case 'L':
        return Take(m_call->OnLost(m_attempt, 0, m_now));
      case 'A':
        return Take(
            m_call->OnAnswer(m_attempt, {200, "", "ok", true}, true, m_now));
      default:
        return Take(m_call->OnCallerGone());
    }
  }

  void Take(const PlainSteps& steps) {
    for (const PlainStep& step : steps) {
      if (const auto* send = std::get_if<SendStep>(&step)) {
        m_attempt = send->attempt;
        ++sends;
      } else if (const auto* finish = std::get_if<FinishKeyStep>(&step)) {
        finished = finish->outcome;
      } else if (const auto* last = std::get_if<EndStep>(&step)) {
        ++ends;
        end = last->end;
      }
    }
  }

  int sends = 0;
  int ends = 0;
  std::optional<CallEnd> end;
  std::optional<Outcome> finished;

 private:
  EndpointTracker m_tracker;
  EndpointSet m_set{m_tracker, CircuitOptions{}};
  RetryBudget m_budget{RetryBudgetOptions{}};
  std::optional<PlainCall> m_call;
  AttemptNumber m_attempt;
  TimeMs m_now{10};
  bool m_dispatched = false;
};

struct CallCase {
  const char* events;
  bool idempotent;
  bool repeat;
  int sends;
  std::optional<Outcome> outcome;
  std::optional<Outcome> finished;
};

constexpr auto kRan = Outcome::kAnswered;
constexpr auto kNo = Outcome::kNotRun;
constexpr auto kMaybe = Outcome::kUnknown;
constexpr auto kNone = std::nullopt;

const CallCase kCallCases[] = {
    {"DA", true, false, 1, kRan, kNone},
    {"DLDA", true, false, 2, kRan, kNone},
    {"DLDLDL", true, false, 3, kMaybe, kNone},
    {"NNN", true, false, 3, kNo, kNone},
    {"DRDRDR", true, false, 3, kNo, kNone},
    // One attempt that may have run is enough to leave the outcome open.
    {"DLNN", true, false, 3, kMaybe, kNone},
    {"DG", true, false, 1, kMaybe, kNone},
    {"G", true, false, 1, kNo, kNone},
    {"DA", false, false, 1, kRan, kRan},
    {"DL", false, false, 1, kMaybe, kMaybe},
    {"DR", false, false, 1, kNo, kNo},
    {"NDL", false, false, 2, kMaybe, kMaybe},
    {"NNN", false, false, 3, kNo, kNo},
    // The key is freed, but earlier sendings may wait elsewhere.
    {"NNN", false, true, 3, kMaybe, kNo},
    // A caller that leaves does not stop a charge.
    {"DG", false, false, 1, kNone, kNone},
    {"DGA", false, false, 1, kRan, kRan},
};

}  // namespace

TEST_CASE("A plain call ends as its attempts allow", "[plain_call]") {
  for (const CallCase& c : kCallCases) {
    INFO(c.events << (c.idempotent ? " idempotent" : " keyed"));
    CallBench bench(c.idempotent, c.repeat);
    for (const char* event = c.events; *event != 0; ++event) {
      bench.Apply(*event);
    }
    CHECK(bench.sends == c.sends);
    CHECK(bench.ends == (c.outcome ? 1 : 0));
    CHECK(bench.finished == c.finished);
    if (c.outcome) CHECK(bench.end->outcome == *c.outcome);
  }
}

TEST_CASE("Late events of an ended call are ignored", "[plain_call]") {
  CallBench bench(false);
  for (const char event : {'D', 'A', 'A', 'L', 'N', 'G'}) bench.Apply(event);
  CHECK(bench.ends == 1);
  CHECK(bench.sends == 1);
}

TEST_CASE("A non-idempotent call without a key is refused", "[plain_call]") {
  EndpointTracker tracker;
  EndpointSet set(tracker, {});
  RetryBudget budget({});
  PlainCallSpec spec;
  spec.idempotent = false;
  PlainCall call(spec, set, budget);
  const PlainSteps steps = call.Start(0, TimeMs(0));
  REQUIRE(steps.size() == 1);
  const CallEnd& end = std::get<EndStep>(steps[0]).end;
  CHECK(end.error == CallError::kMissingKey);
  CHECK(end.outcome == Outcome::kNotRun);
}

TEST_CASE("Past its deadline a call is not dispatched", "[plain_call]") {
  EndpointTracker tracker;
  EndpointSet set(tracker, {});
  set.OnConfig({{EndpointId("e1"), "10.0.0.1:80", {}, VmId("v1")}});
  RetryBudget budget({});
  PlainCallSpec spec;
  spec.deadline = TimeMs(100);
  PlainCall call(spec, set, budget);
  const PlainSteps steps = call.Start(0, TimeMs(0));
  const AttemptNumber attempt = std::get<SendStep>(steps.at(0)).attempt;
  CHECK_FALSE(call.OnDispatch(attempt, TimeMs(100)));
  const PlainSteps last = call.OnNotSent(attempt, 0, TimeMs(100));
  CHECK(std::get<EndStep>(last.at(0)).end.outcome == Outcome::kNotRun);
}

}  // namespace yuccamoor
