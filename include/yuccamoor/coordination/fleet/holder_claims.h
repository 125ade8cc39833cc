/// \file
/// \brief Decides which engines a node claims the right to order, so that the
/// engines are spread over the live nodes.

#ifndef YUCCAMOOR_COORDINATION_FLEET_HOLDER_CLAIMS_H_
#define YUCCAMOOR_COORDINATION_FLEET_HOLDER_CLAIMS_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor::fleet {

/// Watches engines without a holder and says when this node should claim one.
/// Nodes take turns by rendezvous rank, each some time after the one before,
/// so that two rarely race; the store's condition decides if they do.
class HolderClaims {
 public:
  explicit HolderClaims(NodeId self) : m_self(std::move(self)) {}

  /// Returns an engine to claim now, if any. \p holders maps each held engine
  /// to its holder, \p nodes are the live ones, this one included.
  /// \p last_held_here are engines that this node held last and may go on
  /// ordering at once; it claims these before all others. \p never_held have no
  /// last holder to wait for.
  std::optional<EndpointId> NextClaim(
      const std::vector<EndpointId>& engines,
      const std::map<EndpointId, NodeId>& holders,
      const std::set<NodeId>& nodes, const std::set<EndpointId>& last_held_here,
      const std::set<EndpointId>& never_held, TimeMs now);
  /// Notes that a claim has failed: another one was faster, or the store did
  /// not take it.
  void OnClaimFailed(const EndpointId& engine, TimeMs now);

 private:
  NodeId m_self;
  std::map<EndpointId, TimeMs> m_unheld_since;
  TimeMs m_backoff_until;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_HOLDER_CLAIMS_H_
