#include "yuccamoor/coordination/fleet/order_right.h"

#include <utility>

namespace yuccamoor::fleet {

namespace {

// Nodes send their state several times a second.
constexpr DurationMs kMaxReportAge{600};
// While the VM runs, ticks are much closer together than this; a longer gap
// means that it was suspended.
constexpr DurationMs kMaxTickInterval{400};
// After this time, all messages that arrived during a suspension have been
// read.
constexpr DurationMs kIgnoreReportsDuration{200};

}  // namespace

void OrderRight::OnPeerReport(const NodeId& node, PeerReport report,
                              TimeMs now) {
  if (now < m_ignore_reports_until) return;
  m_reports[node] = {now, std::move(report)};
}

void OrderRight::OnTick(TimeMs now) {
  if (m_last_tick && now - *m_last_tick > kMaxTickInterval) {
    m_reports.clear();
    m_ignore_reports_until = now + kIgnoreReportsDuration;
  }
  m_last_tick = now;
}

bool OrderRight::MayOrder(std::optional<TimeMs> renewed,
                          const std::map<EndpointId, Epoch>& held,
                          const std::set<NodeId>& nodes,
                          const std::set<NodeId>& gone, TimeMs now) const {
  if (!renewed) return false;
  return IsRenewed(renewed, now) || PeersConfirm(held, nodes, gone, now);
}

bool OrderRight::PeersConfirm(const std::map<EndpointId, Epoch>& held,
                              const std::set<NodeId>& nodes,
                              const std::set<NodeId>& gone, TimeMs now) const {
  if (!m_last_tick || now - *m_last_tick > kMaxTickInterval) return false;
  // A next holder, which this node need not know of, gives no order sooner.
  bool none_between = m_last_right && now - *m_last_right < m_separation;
  std::set<NodeId> asked = nodes;
  asked.insert(gone.begin(), gone.end());
  for (const NodeId& node : asked) {
    if (node == m_self) continue;
    const auto it = m_reports.find(node);
    if (it == m_reports.end()) return false;
    if (now - it->second.received_at > kMaxReportAge) return false;
    if (!ConfirmsOwnership(it->second.report, held, nodes.size())) return false;
    if (it->second.report.store.fresh) none_between = true;
  }
  return none_between && !nodes.empty();
}

bool OrderRight::ConfirmsOwnership(const PeerReport& peer,
                                   const std::map<EndpointId, Epoch>& held,
                                   std::size_t nodes) {
  for (const auto& [engine, fence] : held) {
    if (peer.held.contains(engine)) return false;
    if (!peer.store.fresh) continue;
    const auto seen = peer.store.holders.find(engine);
    if (seen == peer.store.holders.end()) return false;
    if (seen->second != fence) return false;
  }
  return !peer.store.fresh || peer.store.nodes == nodes;
}

}  // namespace yuccamoor::fleet
