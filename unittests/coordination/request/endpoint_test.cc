/// \file
/// \brief Tests of leaving endpoints and the choice among the others.

#include <catch2/catch.hpp>
#include <vector>

#include "yuccamoor/coordination/request/endpoint_set.h"
#include "yuccamoor/coordination/request/endpoint_tracker.h"

namespace yuccamoor {
namespace {

const VmId kVm("vm-1");

std::vector<VmEntry> Listed(bool leaving) {
  return {{kVm, FailureDomainId("fes-a"), leaving},
          {VmId("vm-2"), FailureDomainId("fes-b"), false}};
}

std::vector<EndpointConfig> Endpoints() {
  return {
      {EndpointId("e1"), "10.0.0.1:80", FailureDomainId("a"), kVm},
      {EndpointId("e2"), "10.0.0.2:80", FailureDomainId("b"), VmId("vm-2")}};
}

}  // namespace

TEST_CASE("Each source of a leaving VM keeps new work away", "[endpoint]") {
  EndpointTracker tracker;
  tracker.OnVmList(Listed(false), TimeMs(0));
  REQUIRE(tracker.Usable(kVm));
  REQUIRE_FALSE(tracker.TakeChanged());
  SECTION("the VM list") { tracker.OnVmList(Listed(true), TimeMs(10)); }
  SECTION("its own answer") { tracker.OnLeavingAnswer(kVm, TimeMs(10)); }
  SECTION("a peer") {
    tracker.OnGossip({NodeId("b"), {{kVm, DurationMs(5)}}}, TimeMs(10));
  }
  SECTION("absence from a list that had it") {
    tracker.OnVmList({Listed(false)[1]}, TimeMs(10));
  }
  CHECK_FALSE(tracker.Usable(kVm));
  CHECK(tracker.TakeChanged());
  CHECK_FALSE(tracker.TakeChanged());
  CHECK(tracker.Usable(VmId("vm-2")));
  // A list that lags behind does not take it back.
  tracker.OnVmList(Listed(false), TimeMs(20));
  tracker.Tick(TimeMs(60'000));
  CHECK_FALSE(tracker.Usable(kVm));
  CHECK(tracker.Gossip(NodeId("a"), TimeMs(30)).leaving.size() == 1);
  tracker.Tick(TimeMs(200'000));
  CHECK(tracker.Usable(kVm));
}

TEST_CASE("Gossip that travels in circles dies out", "[endpoint]") {
  EndpointTracker a;
  EndpointTracker b;
  a.OnLeavingAnswer(kVm, TimeMs(0));
  TimeMs now(0);
  for (; now < TimeMs(300'000); now = now + DurationMs(500)) {
    b.OnGossip(a.Gossip(NodeId("a"), now), now);
    a.OnGossip(b.Gossip(NodeId("b"), now), now);
    a.Tick(now);
    b.Tick(now);
  }
  CHECK(a.Usable(kVm));
  CHECK(b.Usable(kVm));
}

TEST_CASE("Every gateway stops new work within 3 s of the first word",
          "[endpoint]") {
  constexpr std::size_t kGateways = 9;
  constexpr DurationMs kGossipInterval{500};
  std::vector<EndpointTracker> gateways(kGateways);
  gateways[4].OnLeavingAnswer(kVm, TimeMs(0));
  // Each round every gateway tells two others; the list lags for ever.
  TimeMs now(0);
  for (; now < TimeMs(3'000); now = now + kGossipInterval) {
    for (std::size_t i = 0; i < kGateways; ++i) {
      const LeavingGossip gossip = gateways[i].Gossip(NodeId("g"), now);
      gateways[(i + 1) % kGateways].OnGossip(gossip, now);
      gateways[(i + 3) % kGateways].OnGossip(gossip, now);
      gateways[i].OnVmList(Listed(false), now);
    }
  }
  for (const EndpointTracker& gateway : gateways) {
    CHECK_FALSE(gateway.Usable(kVm));
  }
}

TEST_CASE("An endpoint is picked by tries, load, circuit and leaving",
          "[endpoint]") {
  EndpointTracker tracker;
  EndpointSet set(tracker, {});
  set.OnConfig(Endpoints());
  const EndpointId e1("e1");
  const EndpointId e2("e2");
  const auto pick = [&](const std::vector<EndpointId>& tried = {}) {
    const EndpointConfig* picked = set.Pick(tried, 0, TimeMs(0));
    return picked == nullptr ? EndpointId() : picked->id;
  };
  CHECK(pick() == e1);
  CHECK(set.Pick({}, 0.999, TimeMs(0))->id == e2);
  CHECK(pick({e1}) == e2);
  CHECK(pick({e1, e2}) == e1);
  set.OnStart(e1, TimeMs(0));
  CHECK(pick() == e2);
  SECTION("a new configuration keeps the counts of the same address") {
    set.OnConfig(Endpoints());
    CHECK(pick() == e2);
  }
  SECTION("an open circuit") {
    for (int i = 0; i < 10; ++i) set.OnEnd(e2, false, TimeMs(0));
    CHECK(pick() == e1);
  }
  SECTION("leaving") {
    tracker.OnLeavingAnswer(VmId("vm-2"), TimeMs(0));
    CHECK(pick() == e1);
    CHECK(pick({e1}) == e1);
    tracker.OnLeavingAnswer(kVm, TimeMs(0));
    CHECK(pick().empty());
  }
}

}  // namespace yuccamoor
