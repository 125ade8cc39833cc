#include "yuccamoor/coordination/fleet/relay_plan.h"

#include <algorithm>

#include "yuccamoor/state/stable_hash.h"

namespace yuccamoor::fleet {

namespace {

constexpr std::uint64_t kRelaysPerDomain = 2;

// Rendezvous score that distributes the relayed messages of all senders over a
// domain's nodes.
std::uint64_t Score(const NodeId& sender, const NodeId& relay) {
  return StableBucketHash(sender.str() + ">" + relay.str());
}

}  // namespace

RelayPlan PlanRelays(const NodeId& self, const FailureDomainId& domain,
                     const std::map<NodeId, FailureDomainId>& nodes,
                     std::uint64_t message_number) {
  RelayPlan plan;
  std::map<FailureDomainId, std::vector<NodeId>> others;
  for (const auto& [node, node_domain] : nodes) {
    if (node == self) continue;
    if (node_domain == domain) {
      plan.direct_receivers.push_back(node);
    } else {
      others[node_domain].push_back(node);
    }
  }
  for (auto& [other, members] : others) {
    const std::uint64_t count =
        std::min<std::uint64_t>(kRelaysPerDomain, members.size());
    std::partial_sort(members.begin(),
                      members.begin() + static_cast<std::ptrdiff_t>(count),
                      members.end(), [&](const NodeId& a, const NodeId& b) {
                        return Score(self, a) > Score(self, b);
                      });
    plan.relays.push_back(members[message_number % count]);
  }
  return plan;
}

}  // namespace yuccamoor::fleet
