/// \file
/// \brief Decides which engines a node claims the right to order, so that the
/// engines are spread over the live nodes.

#ifndef YUCCAMOOR_COORDINATION_FLEET_HOLDER_CLAIMS_H_
#define YUCCAMOOR_COORDINATION_FLEET_HOLDER_CLAIMS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor::fleet {

/// Tracks engines without a holder and decides when this node should claim one.
/// Nodes claim in order of rendezvous rank, each after a delay, so that two
/// nodes rarely race; if they do, the conditional write to the store decides.
class HolderClaims {
 public:
  explicit HolderClaims(NodeId self) : m_self(std::move(self)) {}

  /// Returns an engine to claim now, or nullopt if there is none. \p holders
  /// maps each held engine to its holder, \p nodes are the live nodes including
  /// this one. \p last_held_here are engines that this node was the last to
  /// hold and may continue to order at once; it claims them without a delay,
  /// before all other nodes. Engines in \p never_held have no last holder to
  /// wait for.
  std::optional<EndpointId> NextClaim(
      const std::vector<EndpointId>& engines,
      const std::map<EndpointId, NodeId>& holders,
      const std::set<NodeId>& nodes, const std::set<EndpointId>& last_held_here,
      const std::set<EndpointId>& never_held, TimeMs now);
  /// Records a failed claim: another node was faster, or the store did not
  /// accept it. No engine is claimed during the backoff that follows.
  void OnClaimFailed(const EndpointId& engine, TimeMs now);

 private:
  // Returns the engines without a holder, and remembers since when.
  std::vector<EndpointId> UpdateUnheld(
      const std::vector<EndpointId>& engines,
      const std::map<EndpointId, NodeId>& holders, TimeMs now);
  // Returns how many nodes come before this one. Nodes that hold fewer engines
  // rank first, then those with a higher rendezvous score.
  std::int64_t ClaimRank(const EndpointId& engine,
                         const std::set<NodeId>& nodes,
                         const std::map<NodeId, std::size_t>& held) const;

  NodeId m_self;
  std::map<EndpointId, TimeMs> m_unheld_since;
  TimeMs m_backoff_until;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_HOLDER_CLAIMS_H_
