/// \file
/// \brief Tests of the assignment and timing of engine claims.

#include "yuccamoor/coordination/fleet/holder_claims.h"

#include <catch2/catch.hpp>
#include <string>

namespace yuccamoor::fleet {
namespace {

const std::vector<EndpointId> kEngines = {EndpointId("e1"), EndpointId("e2"),
                                          EndpointId("e3"), EndpointId("e4")};
const std::set<NodeId> kNodes = {NodeId("n1"), NodeId("n2")};
const std::set<EndpointId> kNone;
const std::set<EndpointId> kAll(kEngines.begin(), kEngines.end());

}  // namespace

TEST_CASE("Two nodes share the engines of a new fleet evenly",
          "[fleet][claims]") {
  std::map<NodeId, HolderClaims> claims;
  for (const NodeId& node : kNodes) claims.emplace(node, HolderClaims(node));
  std::map<EndpointId, NodeId> holders;
  for (TimeMs now(0); now < TimeMs(5'000); now = now + DurationMs(20)) {
    for (auto& [node, own] : claims) {
      const auto engine =
          own.NextClaim(kEngines, holders, kNodes, kNone, kAll, now);
      if (engine) holders.emplace(*engine, node);
    }
  }
  std::map<NodeId, int> held;
  for (const auto& [engine, node] : holders) ++held[node];
  CHECK(holders.size() == kEngines.size());
  CHECK(held[NodeId("n1")] == 2);
  CHECK(held[NodeId("n2")] == 2);
}

TEST_CASE("The last holder claims its engine before all others",
          "[fleet][claims]") {
  HolderClaims last(NodeId("n1"));
  HolderClaims other(NodeId("n2"));
  const std::map<EndpointId, NodeId> holders = {
      {EndpointId("e2"), NodeId("n1")},
      {EndpointId("e3"), NodeId("n2")},
      {EndpointId("e4"), NodeId("n2")}};
  const TimeMs now(100);
  CHECK(last.NextClaim(kEngines, holders, kNodes, {EndpointId("e1")}, kNone,
                       now) == EndpointId("e1"));
  for (int ms = 0; ms < 900; ms += 20) {
    CHECK_FALSE(other.NextClaim(kEngines, holders, kNodes, kNone, kNone,
                                now + DurationMs(ms)));
  }
}

TEST_CASE("A failed claim is not repeated at once", "[fleet][claims]") {
  HolderClaims claims(NodeId("n1"));
  const std::set<NodeId> alone = {NodeId("n1")};
  REQUIRE(claims.NextClaim(kEngines, {}, alone, kNone, kAll, TimeMs(0)));
  claims.OnClaimFailed(EndpointId("e1"), TimeMs(10));
  CHECK_FALSE(claims.NextClaim(kEngines, {}, alone, kNone, kAll, TimeMs(500)));
  CHECK(claims.NextClaim(kEngines, {}, alone, kNone, kAll, TimeMs(2'000)));
}

}  // namespace yuccamoor::fleet
