#include "yuccamoor/coordination/fleet/peer_loads.h"

#include <cassert>

namespace yuccamoor::fleet {

std::vector<EndpointId> PeerLoads::Set(const NodeId& node,
                                       const Counts& counts) {
  std::vector<EndpointId> changed = Remove(node);
  if (counts.empty()) return changed;
  for (const auto& [endpoint, requests] : counts) {
    Add(endpoint, requests);
    changed.push_back(endpoint);
  }
  m_nodes[node] = counts;
  return changed;
}

std::vector<EndpointId> PeerLoads::Remove(const NodeId& node) {
  std::vector<EndpointId> changed;
  const auto it = m_nodes.find(node);
  if (it == m_nodes.end()) return changed;
  for (const auto& [endpoint, requests] : it->second) {
    Subtract(endpoint, requests);
    changed.push_back(endpoint);
  }
  m_nodes.erase(it);
  return changed;
}

std::uint32_t PeerLoads::Sum(const EndpointId& endpoint) const {
  const auto it = m_sums.find(endpoint);
  return it == m_sums.end() ? 0 : it->second;
}

void PeerLoads::Add(const EndpointId& endpoint, std::uint32_t requests) {
  if (requests > 0) m_sums[endpoint] += requests;
}

void PeerLoads::Subtract(const EndpointId& endpoint, std::uint32_t requests) {
  if (requests == 0) return;
  const auto it = m_sums.find(endpoint);
  assert(it != m_sums.end() && it->second >= requests &&
         "what is taken away was added before");
  it->second -= requests;
  if (it->second == 0) m_sums.erase(it);
}

}  // namespace yuccamoor::fleet
