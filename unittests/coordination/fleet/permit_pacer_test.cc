/// \file
/// \brief Tests of the spacing of requests by an endpoint's limit.

#include "yuccamoor/coordination/fleet/permit_pacer.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstddef>
#include <vector>

#include "yuccamoor/coordination/fleet/permit_issuer.h"

namespace yuccamoor::fleet {
namespace {

// Asks every few milliseconds and returns when permits were granted.
std::vector<TimeMs> GrantsOf(PermitPacer& pacer, double per_second,
                             TimeMs begin, TimeMs end) {
  std::vector<TimeMs> grants;
  for (TimeMs now = begin; now < end; now = now + DurationMs(7)) {
    if (pacer.Request(per_second, DurationMs(0), now).granted) {
      grants.push_back(now);
    }
  }
  return grants;
}

std::size_t MostWithin(const std::vector<TimeMs>& grants, DurationMs span) {
  std::size_t most = 0;
  for (auto first = grants.begin(); first != grants.end(); ++first) {
    const auto last = std::lower_bound(first, grants.end(), *first + span);
    most = std::max(most, static_cast<std::size_t>(last - first));
  }
  return most;
}

}  // namespace

TEST_CASE("Permits keep to the rate over any four seconds",
          "[fleet][permits]") {
  for (const double rate : {0.5, 1.3, 5.0, 6.9, 40.0}) {
    CAPTURE(rate);
    PermitPacer pacer;
    const auto grants = GrantsOf(pacer, rate, TimeMs(10'000), TimeMs(30'000));
    const auto most =
        static_cast<double>(MostWithin(grants, DurationMs(4'000)));
    CHECK(most <= 4 * rate * 1.1 + 2);
    CHECK(static_cast<double>(grants.size()) >= 20 * rate * 0.9 - 2);
  }
}

TEST_CASE("A new issuer has no permits saved up", "[fleet][permits]") {
  PermitPacer pacer;
  const PermitDecision first = pacer.Request(2, DurationMs(0), TimeMs(60'000));
  CHECK_FALSE(first.granted);
  CHECK(first.wait == DurationMs(500));
  CHECK(pacer.Request(2, DurationMs(0), TimeMs(60'500)).granted);
}

TEST_CASE("A permit that is free in time is reserved", "[fleet][permits]") {
  PermitPacer pacer;
  pacer.Request(2, DurationMs(0), TimeMs(0));
  const PermitDecision first = pacer.Request(2, DurationMs(600), TimeMs(0));
  CHECK(first.granted);
  CHECK(first.wait == DurationMs(500));
  const PermitDecision second = pacer.Request(2, DurationMs(600), TimeMs(0));
  CHECK_FALSE(second.granted);
  CHECK(second.wait == DurationMs(1'000));
}

TEST_CASE("An endpoint that takes nothing is asked now and then",
          "[fleet][permits]") {
  CHECK(PermitRate(0) > 0);
  CHECK(PermitRate(7.5) == 7.5);
}

TEST_CASE("The permits of an endpoint are issued by its holder or one node",
          "[fleet][permits]") {
  FleetView view;
  const EndpointId endpoint("e1");
  CHECK_FALSE(PermitIssuerOf(view, endpoint));
  const auto add_node = [&view](const std::string& name) {
    const NodeRecord record{{"10.0.0.1", 7'380}, StoreLease(1), {}};
    view.Apply(RecordWritten{FleetView::NodeKey(NodeId(name)),
                             EncodeNodeRecord(record), Revision(1)},
               TimeMs(0));
  };
  add_node("n1");
  add_node("n2");
  add_node("n3");
  const auto issuer = PermitIssuerOf(view, endpoint);
  REQUIRE(issuer);
  view.Apply(RecordRemoved{FleetView::NodeKey(*issuer)}, TimeMs(0));
  CHECK(PermitIssuerOf(view, endpoint) != issuer);
  add_node(issuer->str());
  CHECK(PermitIssuerOf(view, endpoint) == issuer);
  const auto hold = [&](const std::string& node) {
    view.Apply(RecordWritten{FleetView::HolderKey(endpoint), node, Revision(5)},
               TimeMs(0));
  };
  hold("n2");
  CHECK(PermitIssuerOf(view, endpoint) == NodeId("n2"));
  // A holder that is not registered any more answers nobody.
  hold("gone");
  CHECK(PermitIssuerOf(view, endpoint) == issuer);
}

}  // namespace yuccamoor::fleet
