/// \file
/// \brief The requests of the other nodes at each endpoint.

#ifndef YUCCAMOOR_COORDINATION_FLEET_PEER_LOADS_H_
#define YUCCAMOOR_COORDINATION_FLEET_PEER_LOADS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "yuccamoor/state/ids.h"

namespace yuccamoor::fleet {

/// Sums what the nodes say of their requests under way. A node's word costs
/// time by the endpoints that it names, not by the size of the fleet.
class PeerLoads {
 public:
  using Counts = std::map<EndpointId, std::uint32_t>;

  /// Takes a node's counts in place of those before. Returns the endpoints
  /// whose sums may have changed.
  std::vector<EndpointId> Set(const NodeId& node, const Counts& counts);
  /// Forgets a node. Returns the endpoints whose sums have changed.
  std::vector<EndpointId> Remove(const NodeId& node);

  /// The requests of all nodes together at the endpoint.
  std::uint32_t Sum(const EndpointId& endpoint) const;

 private:
  void Add(const EndpointId& endpoint, std::uint32_t requests);
  void Subtract(const EndpointId& endpoint, std::uint32_t requests);

  std::map<NodeId, Counts> m_nodes;
  // Endpoints with at least one request.
  Counts m_sums;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_PEER_LOADS_H_
