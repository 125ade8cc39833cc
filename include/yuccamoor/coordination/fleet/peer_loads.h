/// \file
/// \brief Sums of the other nodes' in-flight requests at each endpoint.

#ifndef YUCCAMOOR_COORDINATION_FLEET_PEER_LOADS_H_
#define YUCCAMOOR_COORDINATION_FLEET_PEER_LOADS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "yuccamoor/state/ids.h"

namespace yuccamoor::fleet {

/// Sums the in-flight requests that the nodes report. The cost of an update is
/// proportional to the number of endpoints in the report, not to the fleet
/// size.
class PeerLoads {
 public:
  using Counts = std::map<EndpointId, std::uint32_t>;

  /// Replaces a node's counts. Returns the endpoints whose sums may have
  /// changed; an endpoint may occur twice.
  std::vector<EndpointId> Set(const NodeId& node, const Counts& counts);
  /// Removes a node's counts. Returns the endpoints that they named; empty if
  /// the node is unknown.
  std::vector<EndpointId> Remove(const NodeId& node);

  /// Returns the requests of all nodes at the endpoint; 0 if there are none.
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
