/// \file
/// \brief Tests of where requests go under which endpoints have just crashed.

#include "yuccamoor/coordination/fleet/suspect_placement.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <utility>

namespace yuccamoor::fleet {
namespace {

const ServiceId kService("s");
const CrashSuspect kRequest{SuspectKind::kRequest, "9c41"};
constexpr TimeMs kNow{10'000};

EndpointId Id(int number) { return EndpointId("e" + std::to_string(number)); }

EndpointTable Endpoints(int count) {
  EndpointTable table;
  for (int i = 0; i < count; ++i) {
    EndpointEntry entry;
    entry.id = Id(i);
    entry.service = kService;
    entry.start_unix_ms = 1;
    table.Put(std::move(entry), TimeMs(0));
  }
  return table;
}

// Crashes the endpoint under the request just now.
void Crash(CrashQuarantine& quarantine, int endpoint,
           const CrashSuspect& request = kRequest) {
  quarantine.OnBrokenOff({Id(endpoint), 1}, {request}, DurationMs(0), kNow);
}

SuspectPlacement Place(const EndpointTable& table,
                       const CrashQuarantine& quarantine,
                       const CrashSuspect& request = kRequest) {
  return PlaceSuspect(table, quarantine, {kService, request, {}}, kNow);
}

}  // namespace

TEST_CASE("A request that has crashed nothing goes to any endpoint",
          "[fleet][quarantine]") {
  CrashQuarantine quarantine;
  Crash(quarantine, 0, {SuspectKind::kRequest, "other"});
  const SuspectPlacement placement = Place(Endpoints(3), quarantine);
  CHECK_FALSE(placement.keeps_back);
  CHECK_FALSE(placement.send_to);
}

TEST_CASE("All nodes send a suspected request to the same endpoint",
          "[fleet][quarantine]") {
  const EndpointTable table = Endpoints(3);
  std::set<EndpointId> chosen;
  for (int i = 0; i < 20; ++i) {
    const CrashSuspect request{SuspectKind::kRequest, std::to_string(i)};
    CrashQuarantine node;
    CrashQuarantine other;
    Crash(node, 0, request);
    other.OnNews(node.TakeNews(), kNow);
    const SuspectPlacement placement = Place(table, node, request);
    REQUIRE(placement.send_to);
    CHECK(placement.send_to == Place(table, other, request).send_to);
    // One that may be down is not chosen.
    CHECK(*placement.send_to != Id(0));
    chosen.insert(*placement.send_to);
  }
  // Different requests do not share one.
  CHECK(chosen.size() == 2);
}

// A request that ended all endpoints of a service at once took the service from
// all callers for seconds.
TEST_CASE("A request that has crashed two endpoints does not get the last one",
          "[fleet][quarantine]") {
  CrashQuarantine quarantine;
  Crash(quarantine, 0);
  SECTION("of three") {
    Crash(quarantine, 1);
    CHECK(Place(Endpoints(3), quarantine).keeps_back);
    CHECK_FALSE(Place(Endpoints(4), quarantine).keeps_back);
  }
  SECTION("unless it has crashed one") {
    CHECK_FALSE(Place(Endpoints(2), quarantine).keeps_back);
  }
  SECTION("until others are back") {
    Crash(quarantine, 1);
    quarantine.OnOutput({Id(1), 1}, {}, kNow);
    CHECK_FALSE(Place(Endpoints(3), quarantine).keeps_back);
  }
  SECTION("unless there is only one") {
    quarantine.OnBrokenOff({Id(0), 2}, {kRequest}, DurationMs(0), kNow);
    CHECK_FALSE(Place(Endpoints(1), quarantine).keeps_back);
  }
}

}  // namespace yuccamoor::fleet
