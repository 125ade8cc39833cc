/// \file
/// \brief Tests of the callers' plan and of the check of their answers.

#include "yuccamoor/standins/workload.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "yuccamoor/protocol/chat_api.h"
#include "yuccamoor/standins/answer_check.h"
#include "yuccamoor/standins/token_rule.h"

namespace yuccamoor {
namespace {

constexpr std::uint32_t kTokens = 3;

AdapterVersion Target(int number) {
  return {AdapterId("a" + std::to_string(number)), VersionId("1")};
}

WorkloadOptions TenTargets() {
  WorkloadOptions options;
  for (int i = 0; i < 10; ++i) options.targets.push_back(Target(i));
  options.requests_per_second = 1'000;
  return options;
}

std::vector<PlannedCall> Plan(const WorkloadOptions& options) {
  Workload workload(options);
  std::vector<PlannedCall> calls;
  while (const auto call = workload.Next()) calls.push_back(*call);
  return calls;
}

std::size_t CallsFor(const std::vector<PlannedCall>& calls,
                     const AdapterVersion& target, DurationMs begin,
                     DurationMs end) {
  return static_cast<std::size_t>(
      std::count_if(calls.begin(), calls.end(), [&](const PlannedCall& call) {
        return call.target == target && call.at >= begin && call.at < end;
      }));
}

std::string Event(const std::string& data) {
  SseEvent event;
  event.data = data;
  return EncodeSse(event);
}

/// A whole answer of the target to the prompt, as a body.
std::string Body(const AdapterVersion& target, const std::string& prompt,
                 const std::string& request = "r") {
  std::string body;
  for (std::uint32_t i = 0; i < kTokens; ++i) {
    body += Event(ChatChunkEncoder(RequestId(request), target)
                      .Encode(ExpectedToken(target, prompt, i)));
  }
  body += Event(EncodeChatEnd(RequestId(request), target, kTokens));
  return body + Event(std::string(kChatDone));
}

AnswerFault Check(const std::string& body, bool whole = true) {
  AnswerCheck check(Target(1), "p", kTokens);
  check.Feed(body.substr(0, body.size() / 2));
  check.Feed(body.substr(body.size() / 2));
  return check.Finish(whole);
}

}  // namespace

TEST_CASE("The same seed plans the same requests", "[workload]") {
  WorkloadOptions options = TenTargets();
  const auto first = Plan(options);
  const auto second = Plan(options);
  REQUIRE(first.size() == second.size());
  for (std::size_t i = 0; i < first.size(); ++i) {
    CHECK(first[i].at == second[i].at);
    CHECK(first[i].target == second[i].target);
  }
  options.seed = 2;
  CHECK(Plan(options).size() != first.size());
}

TEST_CASE("Requests follow skew, shift, ramp and power cut", "[workload]") {
  WorkloadOptions options = TenTargets();
  options.shift_at = DurationMs(5'000);
  options.ramp = DurationMs(4'000);
  options.power_cut = 500;
  options.charge_share = 0.25;
  const auto calls = Plan(options);
  const DurationMs end(10'000);
  const DurationMs half(5'000);
  CHECK(CallsFor(calls, Target(0), DurationMs(0), half) >
        3 * CallsFor(calls, Target(5), DurationMs(0), half));
  CHECK(CallsFor(calls, Target(5), half, end) >
        3 * CallsFor(calls, Target(0), half, end));
  const auto between = [&](int from, int to) {
    return std::count_if(calls.begin(), calls.end(), [&](const auto& call) {
      return call.at >= DurationMs(from) && call.at < DurationMs(to);
    });
  };
  CHECK(between(0, 1) >= 500);
  CHECK(between(8'000, 9'000) > 2 * between(1, 1'000));
  const auto charges = std::count_if(
      calls.begin(), calls.end(),
      [](const auto& call) { return call.kind == CallKind::kCharge; });
  const double share =
      static_cast<double>(charges) / static_cast<double>(calls.size());
  CHECK(share == Approx(0.25).margin(0.03));
}

TEST_CASE("The check of answers finds each fault", "[workload]") {
  const std::string right = Body(Target(1), "p");
  CHECK(Check(right) == AnswerFault::kNone);
  CHECK(Check(right, false) == AnswerFault::kCut);
  CHECK(Check(right.substr(0, right.size() - 8)) == AnswerFault::kCut);
  CHECK(Check(Event("{}") + right) == AnswerFault::kMalformed);
  CHECK(Check(Body(Target(2), "p")) == AnswerFault::kWrongTarget);
  CHECK(Check(Body(Target(1), "q")) == AnswerFault::kWrongText);
  const std::string first = right.substr(0, right.find("\n\n") + 2);
  CHECK(Check(right.substr(first.size())) == AnswerFault::kWrongText);
  CHECK(Check(first + right) == AnswerFault::kWrongText);
  CHECK(Check(first + Body(Target(1), "p", "other")) ==
        AnswerFault::kMixedRequests);
}

}  // namespace yuccamoor
