/// \file
/// \brief Chooses the nodes to which a node sends its status in a large fleet.
///
/// Every node's status reaches every other node, and traffic between failure
/// domains is expensive. Each status is therefore sent to another domain once,
/// to a relay node that forwards it within that domain.

#ifndef YUCCAMOOR_COORDINATION_FLEET_RELAY_PLAN_H_
#define YUCCAMOOR_COORDINATION_FLEET_RELAY_PLAN_H_

#include <cstdint>
#include <map>
#include <vector>

#include "yuccamoor/state/ids.h"

namespace yuccamoor::fleet {

/// The nodes to which one message is sent.
struct RelayPlan {
  /// The other nodes of the sender's own domain.
  std::vector<NodeId> direct_receivers;
  /// One node of each other domain, which forwards the message there.
  std::vector<NodeId> relays;
};

/// Returns the receivers of the node's message number \p message_number. Relays
/// alternate between two nodes of each domain, so that an unresponsive relay
/// loses only every other message.
RelayPlan PlanRelays(const NodeId& self, const FailureDomainId& domain,
                     const std::map<NodeId, FailureDomainId>& nodes,
                     std::uint64_t message_number);

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_RELAY_PLAN_H_
