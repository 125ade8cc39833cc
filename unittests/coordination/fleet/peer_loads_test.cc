/// \file
/// \brief Tests of the sums of other nodes' requests.

#include "yuccamoor/coordination/fleet/peer_loads.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <string>

namespace yuccamoor::fleet {
namespace {

const EndpointId kFirst("e1");
const EndpointId kSecond("e2");
const NodeId kNode("n1");
const NodeId kOther("n2");

}  // namespace

TEST_CASE("A node's counts replace those that it told before",
          "[fleet][peer_loads]") {
  PeerLoads loads;
  loads.Set(kNode, {{kFirst, 3}, {kSecond, 1}});
  loads.Set(kOther, {{kFirst, 2}});
  CHECK(loads.Sum(kFirst) == 5);

  const auto changed = loads.Set(kNode, {{kSecond, 4}});
  CHECK(loads.Sum(kFirst) == 2);
  CHECK(loads.Sum(kSecond) == 4);
  // The sum of the endpoint that the new counts omit has changed as well.
  CHECK(std::find(changed.begin(), changed.end(), kFirst) != changed.end());
  CHECK(std::find(changed.begin(), changed.end(), kSecond) != changed.end());
}

TEST_CASE("A forgotten node's requests count no more", "[fleet][peer_loads]") {
  PeerLoads loads;
  loads.Set(kNode, {{kFirst, 3}});
  loads.Set(kOther, {{kFirst, 2}});
  CHECK(loads.Remove(kNode) == std::vector<EndpointId>{kFirst});
  CHECK(loads.Sum(kFirst) == 2);
  CHECK(loads.Remove(kNode).empty());
  CHECK(loads.Remove(kOther).size() == 1);
  CHECK(loads.Sum(kFirst) == 0);
}

TEST_CASE("Sums of a large fleet equal a count of all that was told",
          "[fleet][peer_loads][load]") {
  // Load pattern: 76 nodes report their requests at 60 endpoints several times
  // a second, and some stop reporting.
  constexpr int kNodes = 76;
  constexpr int kEndpoints = 60;
  constexpr int kRounds = 2'000;
  std::mt19937 random(7);
  PeerLoads loads;
  std::map<NodeId, PeerLoads::Counts> reported_counts;
  for (int round = 0; round < kRounds; ++round) {
    const NodeId node("n" + std::to_string(random() % kNodes));
    if (random() % 10 == 0) {
      loads.Remove(node);
      reported_counts.erase(node);
      continue;
    }
    PeerLoads::Counts counts;
    for (int i = 0; i < 11; ++i) {
      const EndpointId endpoint("e" + std::to_string(random() % kEndpoints));
      counts[endpoint] = static_cast<std::uint32_t>(random() % 4);
    }
    loads.Set(node, counts);
    reported_counts[node] = counts;
  }
  for (int i = 0; i < kEndpoints; ++i) {
    const EndpointId endpoint("e" + std::to_string(i));
    std::uint32_t sum = 0;
    for (const auto& [node, counts] : reported_counts) {
      const auto it = counts.find(endpoint);
      if (it != counts.end()) sum += it->second;
    }
    CHECK(loads.Sum(endpoint) == sum);
  }
}

}  // namespace yuccamoor::fleet
