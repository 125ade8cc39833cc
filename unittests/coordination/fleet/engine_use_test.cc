/// \file
/// \brief Tests of the reports to engines' holders.

#include "yuccamoor/coordination/fleet/engine_use.h"

#include <catch2/catch.hpp>

#include "coordination/fleet/fleet_fakes.h"

namespace yuccamoor::fleet {
namespace {

const EndpointId kFirst("e1");
const EndpointId kSecond("e2");
const NodeId kHolder("n1");

std::map<EndpointId, HolderRecord> OneHolder() {
  return {{kFirst, {kHolder, Epoch(1)}}, {kSecond, {kHolder, Epoch(2)}}};
}

}  // namespace

TEST_CASE("A report goes to the holder soon after a request begins and ends",
          "[fleet][use]") {
  EngineUseReports reports;
  CHECK(reports.Take(OneHolder(), TimeMs(0)).empty());
  reports.OnBegin(kFirst, Adapter("a1"));
  reports.OnBegin(kFirst, Adapter("a1"));
  auto taken = reports.Take(OneHolder(), TimeMs(20));
  REQUIRE(taken.contains(kHolder));
  CHECK(taken[kHolder].in_flight.at(kFirst) == 2);
  CHECK(taken[kHolder].used.at(kFirst).at(Adapter("a1")) == 2);
  CHECK(reports.Take(OneHolder(), TimeMs(40)).empty());
  reports.OnEnd(kFirst, Adapter("a1"));
  reports.OnEnd(kFirst, Adapter("a1"));
  taken = reports.Take(OneHolder(), TimeMs(60));
  REQUIRE(taken.contains(kHolder));
  CHECK(taken[kHolder].in_flight.empty());
}

TEST_CASE(
    "Requests in flight are reported again, with all of the holder's "
    "engines",
    "[fleet][use]") {
  EngineUseReports reports;
  reports.OnBegin(kFirst, Adapter("a1"));
  reports.Take(OneHolder(), TimeMs(0));
  reports.OnBegin(kSecond, Adapter("a2"));
  auto taken = reports.Take(OneHolder(), TimeMs(100));
  CHECK(taken[kHolder].in_flight.size() == 2);
  // In use, but not requested again.
  CHECK(taken[kHolder].used.at(kFirst).at(Adapter("a1")) == 0);
  CHECK(reports.Take(OneHolder(), TimeMs(300)).empty());
  CHECK(reports.Take(OneHolder(), TimeMs(700)).size() == 1);
}

TEST_CASE("Without a holder nothing is reported, and nothing kept",
          "[fleet][use]") {
  EngineUseReports reports;
  reports.OnBegin(kFirst, Adapter("a1"));
  CHECK(reports.Take({}, TimeMs(20)).empty());
  const auto taken = reports.Take(OneHolder(), TimeMs(600));
  REQUIRE(taken.contains(kHolder));
  CHECK(taken.at(kHolder).used.at(kFirst).at(Adapter("a1")) == 0);
}

// Requests that waited for their adapters were not counted, so that an
// adapter's share of all requests seemed several times as large.
TEST_CASE("The rate of requests counts those that no engine serves yet",
          "[fleet][use]") {
  EngineUseReports reports;
  reports.OnRequest(TimeMs(0));
  CHECK(reports.RequestRate(TimeMs(0)) > 0);
  const double before = reports.RequestRate(TimeMs(100));
  reports.OnBegin(kFirst, Adapter("a1"));
  CHECK(reports.RequestRate(TimeMs(100)) == before);
}

TEST_CASE("The rate of requests follows the last seconds", "[fleet][use]") {
  EngineUseReports reports;
  TimeMs now(0);
  for (int i = 0; i < 100; ++i) {
    now = now + DurationMs(100);
    reports.OnRequest(now);
  }
  CHECK(reports.RequestRate(now) > 8);
  CHECK(reports.RequestRate(now) < 12);
  CHECK(reports.RequestRate(now + DurationMs(10'000)) < 0.1);
}

}  // namespace yuccamoor::fleet
