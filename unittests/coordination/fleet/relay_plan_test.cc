/// \file
/// \brief Tests of the receivers of a node's status in a large fleet.

#include "yuccamoor/coordination/fleet/relay_plan.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>

namespace yuccamoor::fleet {
namespace {

// Returns nodes n0, n1, ..., assigned round-robin to the domains d0, d1, ...
std::map<NodeId, FailureDomainId> Nodes(int count, int domains) {
  std::map<NodeId, FailureDomainId> nodes;
  for (int i = 0; i < count; ++i) {
    nodes[NodeId("n" + std::to_string(i))] =
        FailureDomainId("d" + std::to_string(i % domains));
  }
  return nodes;
}

// Returns all nodes that a message reaches if `silent` forwards nothing.
std::set<NodeId> Reached(const RelayPlan& plan,
                         const std::map<NodeId, FailureDomainId>& nodes,
                         const NodeId& silent) {
  std::set<NodeId> reached(plan.direct_receivers.begin(),
                           plan.direct_receivers.end());
  for (const NodeId& relay : plan.relays) {
    if (relay == silent) continue;
    for (const auto& [node, domain] : nodes) {
      if (domain == nodes.at(relay)) reached.insert(node);
    }
  }
  return reached;
}

}  // namespace

TEST_CASE("A message reaches all nodes and crosses to a domain once",
          "[fleet][relay][load]") {
  // Load pattern: 76 nodes of three domains send each other their status, and
  // traffic between domains is expensive.
  const auto nodes = Nodes(76, 3);
  for (const auto& [self, domain] : nodes) {
    const RelayPlan plan = PlanRelays(self, domain, nodes, 0);
    CHECK(plan.relays.size() == 2);
    CHECK(Reached(plan, nodes, NodeId()).size() == nodes.size() - 1);
  }
}

TEST_CASE("A silent relay loses every other message only", "[fleet][relay]") {
  const auto nodes = Nodes(20, 4);
  const NodeId self("n0");
  const FailureDomainId domain("d0");
  const NodeId silent = PlanRelays(self, domain, nodes, 0).relays.front();
  const auto first = PlanRelays(self, domain, nodes, 0);
  const auto second = PlanRelays(self, domain, nodes, 1);
  CHECK(Reached(first, nodes, silent).size() < nodes.size() - 1);
  CHECK(Reached(second, nodes, silent).size() >= nodes.size() - 2);
}

TEST_CASE("Relaying is spread over a domain's nodes", "[fleet][relay]") {
  const auto nodes = Nodes(76, 3);
  std::map<NodeId, int> relayed;
  for (const auto& [self, domain] : nodes) {
    for (const NodeId& relay : PlanRelays(self, domain, nodes, 0).relays) {
      ++relayed[relay];
    }
  }
  // The mean is two.
  for (const auto& [relay, messages] : relayed) CHECK(messages <= 8);
}

TEST_CASE("A domain with one node has it as its relay", "[fleet][relay]") {
  const auto nodes = Nodes(3, 3);
  const RelayPlan plan =
      PlanRelays(NodeId("n0"), FailureDomainId("d0"), nodes, 7);
  CHECK(plan.direct_receivers.empty());
  CHECK(plan.relays == std::vector<NodeId>{NodeId("n1"), NodeId("n2")});
}

}  // namespace yuccamoor::fleet
