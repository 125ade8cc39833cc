/// \file
/// \brief Tests of a request's search for an engine, with answers that are
/// lost, late or negative.

#include "yuccamoor/coordination/fleet/admission_request.h"

#include <catch2/catch.hpp>

namespace yuccamoor::fleet {
namespace {

const EndpointId kHome("e1");
const EndpointId kSecond("e2");
const EndpointId kThird("e3");

std::vector<EndpointId> Ranking() { return {kHome, kSecond, kThird}; }

AdmissionAnswer Holding(const EndpointId& engine, DurationMs prompt_wait,
                        std::uint32_t requests = 0) {
  AdmissionAnswer answer;
  answer.quote.engine = engine;
  answer.quote.version = AdapterRevision(1);
  answer.quote.adapter_wait = DurationMs(0);
  answer.quote.prompt_wait = prompt_wait;
  answer.quote.requests = requests;
  return answer;
}

AdmissionAnswer Loading(const EndpointId& engine, DurationMs wait) {
  AdmissionAnswer answer;
  answer.quote.engine = engine;
  answer.quote.adapter_wait = wait;
  return answer;
}

AdmissionAnswer Unable(const EndpointId& engine) {
  AdmissionAnswer answer;
  answer.quote.engine = engine;
  return answer;
}

}  // namespace

TEST_CASE("A request is sent where its adapter's home admits it",
          "[fleet][admission]") {
  AdmissionRequest request(1, false);
  const AdmissionStep first = request.Poll(Ranking, TimeMs(0));
  REQUIRE(first.asks.size() == 1);
  CHECK(first.asks[0].engine == kHome);
  CHECK(first.asks[0].as_home);
  CHECK(request.Poll(Ranking, TimeMs(20)).asks.empty());
  const AdmissionStep step =
      request.OnAnswer(Holding(kHome, DurationMs(0)), TimeMs(5));
  CHECK(step.send_to == kHome);
}

TEST_CASE("Of two copies the less loaded one gets the request",
          "[fleet][admission]") {
  AdmissionRequest request(1, false);
  request.Poll(Ranking, TimeMs(0));
  AdmissionAnswer answer = Holding(kHome, DurationMs(0), 9);
  answer.choices = {kHome, kThird};
  const AdmissionStep step = request.OnAnswer(answer, TimeMs(5));
  REQUIRE(step.asks.size() == 1);
  CHECK(step.asks[0].engine == kThird);
  CHECK_FALSE(step.asks[0].as_home);
  SECTION("which answers") {
    CHECK(request.OnAnswer(Holding(kThird, DurationMs(0), 2), TimeMs(10))
              .send_to == kThird);
  }
  SECTION("the other one does not answer") {
    CHECK(request.Poll(Ranking, TimeMs(60)).send_to == kHome);
  }
}

TEST_CASE("A home that is not among the choices does not count",
          "[fleet][admission]") {
  AdmissionRequest request(1, false);
  request.Poll(Ranking, TimeMs(0));
  AdmissionAnswer answer = Loading(kHome, DurationMs(300));
  answer.choices = {kSecond, kThird};
  CHECK(request.OnAnswer(answer, TimeMs(5)).asks.size() == 2);
  request.OnAnswer(Holding(kSecond, DurationMs(0), 3), TimeMs(8));
  CHECK(
      request.OnAnswer(Holding(kThird, DurationMs(0), 5), TimeMs(9)).send_to ==
      kSecond);
}

TEST_CASE("Homes that do not answer or cannot load are passed over",
          "[fleet][admission]") {
  AdmissionRequest request(1, false);
  request.Poll(Ranking, TimeMs(0));
  AdmissionStep step = request.Poll(Ranking, TimeMs(80));
  REQUIRE(step.asks.size() == 1);
  CHECK(step.asks[0].engine == kSecond);
  // The first one's answer is late.
  CHECK_FALSE(
      request.OnAnswer(Holding(kHome, DurationMs(0)), TimeMs(85)).send_to);
  step = request.OnAnswer(Unable(kSecond), TimeMs(90));
  REQUIRE(step.asks.size() == 1);
  CHECK(step.asks[0].engine == kThird);
  step = request.Poll(Ranking, TimeMs(200));
  CHECK(step.unanswered);
  // It goes on asking.
  CHECK(request.Poll(Ranking, TimeMs(220)).asks.empty());
  CHECK(request.Poll(Ranking, TimeMs(400)).asks.size() == 1);
}

TEST_CASE("A request waits for its adapter, and asks again once it is loaded",
          "[fleet][admission]") {
  AdmissionRequest request(1, false);
  request.Poll(Ranking, TimeMs(0));
  request.OnAnswer(Loading(kHome, DurationMs(300)), TimeMs(5));
  CHECK(request.waits_for_load());
  CHECK(request.expected() == TimeMs(305));
  CHECK(request.Poll(Ranking, TimeMs(100)).asks.empty());
  SECTION("told by the holder") {
    request.OnLoaded(kHome);
    CHECK(request.Poll(Ranking, TimeMs(120)).asks.size() == 1);
  }
  SECTION("by itself, if that message is lost") {
    CHECK(request.Poll(Ranking, TimeMs(260)).asks.size() == 1);
  }
  CHECK(request.OnAnswer(Holding(kHome, DurationMs(0)), TimeMs(300)).send_to ==
        kHome);
}

TEST_CASE("A queued request is sent when its holder admits it",
          "[fleet][admission]") {
  AdmissionRequest request(1, false);
  request.Poll(Ranking, TimeMs(0));
  const AdmissionStep step =
      request.OnAnswer(Holding(kHome, DurationMs(120)), TimeMs(5));
  REQUIRE(step.asks.size() == 1);
  CHECK(step.asks[0].enqueue);
  CHECK_FALSE(
      request.OnAnswer(Holding(kHome, DurationMs(100)), TimeMs(10)).send_to);
  CHECK(request.expected() == TimeMs(110));
  SECTION("admitted") {
    CHECK(request.OnAnswer(Holding(kHome, DurationMs(0)), TimeMs(90)).send_to ==
          kHome);
  }
  SECTION("the holder has gone") {
    CHECK(request.Poll(Ranking, TimeMs(260)).asks[0].enqueue);
    const AdmissionStep next = request.Poll(Ranking, TimeMs(700));
    REQUIRE(next.asks.size() == 1);
    CHECK(next.asks[0].engine == kSecond);
  }
  SECTION("the adapter was unloaded meanwhile") {
    request.OnAnswer(Loading(kHome, DurationMs(200)), TimeMs(260));
    CHECK(request.Poll(Ranking, TimeMs(280)).asks[0].as_home);
  }
}

TEST_CASE("A request for the base model goes to the better one of two engines",
          "[fleet][admission]") {
  AdmissionRequest request(7, true);
  const AdmissionStep first = request.Poll(Ranking, TimeMs(0));
  REQUIRE(first.asks.size() == 2);
  CHECK(first.asks[0].engine != first.asks[1].engine);
  request.OnAnswer(Holding(first.asks[0].engine, DurationMs(0), 9), TimeMs(3));
  CHECK(
      request
          .OnAnswer(Holding(first.asks[1].engine, DurationMs(0), 1), TimeMs(4))
          .send_to == first.asks[1].engine);
}

TEST_CASE("A request without any engine is left to the caller",
          "[fleet][admission]") {
  AdmissionRequest request(1, GENERATE(false, true));
  const auto none = [] { return std::vector<EndpointId>(); };
  AdmissionStep step = request.Poll(none, TimeMs(0));
  if (!step.unanswered) step = request.Poll(none, TimeMs(100));
  CHECK(step.unanswered);
}

}  // namespace yuccamoor::fleet
