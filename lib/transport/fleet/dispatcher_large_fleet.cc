#include <utility>

#include "yuccamoor/transport/fleet/dispatcher.h"

namespace yuccamoor::fleet {

namespace {

// Weight of one engine in the mean over those asked last.
constexpr double kQuoteWeight = 0.05;

}  // namespace

void Dispatcher::OnPeerUse(const TellUse& told) {
  m_peer_uses[told.node] = {m_context.clock.Now(), told.requests_per_second};
  ShowPeerLoads(m_peer_loads.Set(told.node, told.use.in_flight));
}

void Dispatcher::OnEngineRequest() { m_use.OnRequest(m_context.clock.Now()); }

std::map<NodeId, TellUse> Dispatcher::TakeUse(TimeMs now) {
  std::map<NodeId, TellUse> messages;
  for (auto& [holder, use] : m_use.Take(m_context.view.holders(), now)) {
    TellUse& told = messages[holder];
    told.node = m_context.settings.node;
    told.use = std::move(use);
    told.requests_per_second = m_use.RequestRate(now);
  }
  return messages;
}

double Dispatcher::FleetRate() const {
  double sum = m_use.RequestRate(m_context.clock.Now());
  for (const auto& [node, use] : m_peer_uses) sum += use.requests_per_second;
  const auto known = static_cast<double>(m_peer_uses.size() + 1);
  return sum / known * static_cast<double>(m_context.view.nodes().size());
}

void Dispatcher::OnEngineQuote(const EngineQuote& quote) {
  m_loads.OnSample(quote.engine, quote.loading, m_context.clock.Now());
  m_mean_requests += (quote.requests - m_mean_requests) * kQuoteWeight;
}

void Dispatcher::OnEndpointLoad(const EndpointId& endpoint,
                                const EndpointLoad& load) {
  if (!IsLarge()) return;
  Endpoint* known = m_context.view.endpoints().Find(endpoint);
  if (!known || m_context.view.EngineOf(known->entry.service)) return;
  const std::uint32_t requests = load.running + load.waiting;
  known->peers_in_flight =
      requests > known->in_flight ? requests - known->in_flight : 0;
  m_load_told[endpoint] = m_context.clock.Now();
}

}  // namespace yuccamoor::fleet
