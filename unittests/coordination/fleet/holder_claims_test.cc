/// \file
/// \brief Tests of the assignment and timing of engine claims.

#include "yuccamoor/coordination/fleet/holder_claims.h"

#include <algorithm>
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

// Load pattern: a large fleet starts at once, each node sees the others' claims
// late, and all engines are free. Looking for work must stay cheap for the
// nodes that have none, and the engines must be spread.
TEST_CASE("A starting fleet of 195 nodes spreads 78 engines within a second",
          "[fleet][claims][large]") {
  constexpr int kNodeCount = 195;
  constexpr int kEngineCount = 78;
  constexpr DurationMs kViewDelay{300};
  std::set<NodeId> nodes;
  std::vector<EndpointId> engines;
  std::map<NodeId, HolderClaims> claims;
  for (int i = 0; i < kNodeCount; ++i) {
    const NodeId node("node-" + std::to_string(i));
    nodes.insert(node);
    claims.emplace(node, HolderClaims(node));
  }
  engines.reserve(kEngineCount);
  for (int i = 0; i < kEngineCount; ++i) {
    engines.emplace_back("engine-" + std::to_string(i));
  }
  const std::set<EndpointId> never_held(engines.begin(), engines.end());
  std::map<EndpointId, NodeId> written;
  std::map<EndpointId, NodeId> seen;
  std::map<NodeId, std::map<EndpointId, NodeId>> own_claims;
  TimeMs seen_at(0);
  int conflicts = 0;
  TimeMs all_held(0);
  for (TimeMs now(0); now < TimeMs(5'000); now = now + DurationMs(100)) {
    if (now - seen_at >= kViewDelay) {
      seen = written;
      seen_at = now;
    }
    for (auto& [node, own] : claims) {
      // A node sees its own claims at once.
      std::map<EndpointId, NodeId> view = seen;
      view.insert(own_claims[node].begin(), own_claims[node].end());
      const auto engine =
          own.NextClaim(engines, view, nodes, kNone, never_held, now);
      if (!engine) continue;
      if (written.emplace(*engine, node).second) {
        own_claims[node].emplace(*engine, node);
        continue;
      }
      ++conflicts;
      own.OnClaimFailed(*engine, now);
    }
    if (written.size() == engines.size() && all_held == TimeMs(0)) {
      all_held = now;
    }
  }
  CHECK(written.size() == engines.size());
  CHECK(all_held <= TimeMs(1'000));
  // Each claim is a write to the store.
  CHECK(conflicts <= kEngineCount);
  std::map<NodeId, int> held;
  for (const auto& [engine, node] : written) ++held[node];
  // Of nodes that see each other's claims late, few win two.
  int most = 0;
  for (const auto& [node, count] : held) most = std::max(most, count);
  CHECK(most <= 3);
}

}  // namespace yuccamoor::fleet
