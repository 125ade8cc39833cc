/// \file
/// \brief Picks an endpoint for each attempt.

#include "yuccamoor/coordination/request/endpoint_set.h"

#include <algorithm>
#include <utility>

#include "yuccamoor/coordination/request/endpoint_tracker.h"

namespace yuccamoor {

EndpointSet::EndpointSet(const EndpointTracker& tracker,
                         const CircuitOptions& options)
    : m_tracker(tracker), m_options(options) {}

void EndpointSet::OnConfig(const std::vector<EndpointConfig>& endpoints) {
  std::map<EndpointId, Endpoint> next;
  for (const EndpointConfig& config : endpoints) {
    Endpoint endpoint{config, CircuitBreaker(m_options), 0};
    const auto known = m_endpoints.find(config.id);
    // Another address is another process, of which nothing is known yet.
    if (known != m_endpoints.end() &&
        known->second.config.address == config.address) {
      endpoint.circuit = known->second.circuit;
      endpoint.running = known->second.running;
    }
    next.insert_or_assign(config.id, std::move(endpoint));
  }
  m_endpoints = std::move(next);
}

const EndpointConfig* EndpointSet::Pick(const std::vector<EndpointId>& tried,
                                        double random, TimeMs now) const {
  std::vector<const Endpoint*> best;
  std::pair<bool, std::uint32_t> best_rank;
  for (const auto& [id, endpoint] : m_endpoints) {
    if (!m_tracker.Usable(endpoint.config.vm)) continue;
    if (!endpoint.circuit.Allows(now)) continue;
    const bool again = std::find(tried.begin(), tried.end(), id) != tried.end();
    const std::pair rank(again, endpoint.running);
    if (best.empty() || rank < best_rank) {
      best.clear();
      best_rank = rank;
    }
    if (rank == best_rank) best.push_back(&endpoint);
  }
  if (best.empty()) return nullptr;
  const auto index =
      static_cast<std::size_t>(random * static_cast<double>(best.size()));
  return &best[std::min(index, best.size() - 1)]->config;
}

void EndpointSet::OnStart(const EndpointId& id, TimeMs now) {
  const auto found = m_endpoints.find(id);
  if (found == m_endpoints.end()) return;
  found->second.circuit.OnStart(now);
  ++found->second.running;
}

void EndpointSet::OnEnd(const EndpointId& id, bool success, TimeMs now) {
  const auto found = m_endpoints.find(id);
  if (found == m_endpoints.end()) return;
  found->second.circuit.OnEnd(success, now);
  if (found->second.running > 0) --found->second.running;
}

void EndpointSet::OnCancel(const EndpointId& id) {
  const auto found = m_endpoints.find(id);
  if (found == m_endpoints.end()) return;
  found->second.circuit.OnCancel();
  if (found->second.running > 0) --found->second.running;
}

}  // namespace yuccamoor
