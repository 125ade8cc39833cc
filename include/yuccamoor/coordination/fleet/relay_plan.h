/// \file
/// \brief Chooses whom a node tells its state in a large fleet.
///
/// Bytes between failure domains are dear, and every node tells every other
/// one. Each status crosses to another domain once, to a node there that passes
/// it on.

#ifndef YUCCAMOOR_COORDINATION_FLEET_RELAY_PLAN_H_
#define YUCCAMOOR_COORDINATION_FLEET_RELAY_PLAN_H_

#include <cstdint>
#include <map>
#include <vector>

#include "yuccamoor/state/ids.h"

namespace yuccamoor::fleet {

/// The receivers of one message.
struct RelayPlan {
  /// Nodes of the sender's own domain.
  std::vector<NodeId> direct_receivers;
  /// One node of each other domain, which passes the message on there.
  std::vector<NodeId> relays;
};

/// Plans message number \p message_number of the node. Relays alternate between
/// two nodes of each domain, so that one that is silent loses every other
/// message only.
RelayPlan PlanRelays(const NodeId& self, const FailureDomainId& domain,
                     const std::map<NodeId, FailureDomainId>& nodes,
                     std::uint64_t message_number);

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_RELAY_PLAN_H_
