#include "yuccamoor/transport/fleet/crash_guard.h"

#include <algorithm>
#include <utility>

#include "yuccamoor/coordination/fleet/fleet_size.h"

namespace yuccamoor::fleet {

namespace {

// Nodes that have started since or have lost a datagram hear of the quarantined
// suspects again.
constexpr DurationMs kRemindInterval{1'000};
// Reaches all nodes of a small fleet, and spreads through a large one in steps.
constexpr std::size_t kToldNodes = kMaxSmallFleetNodes;

}  // namespace

CrashGuard::CrashGuard(NodeContext& context, SendToPeer send,
                       Broadcast broadcast)
    : m_context(context),
      m_send(std::move(send)),
      m_broadcast(std::move(broadcast)) {}

void CrashGuard::OnBrokenOff(const EndpointProcess& endpoint,
                             const std::vector<CrashSuspect>& suspects,
                             DurationMs ran) {
  m_quarantine.OnBrokenOff(endpoint, suspects, ran, m_context.clock.Now());
}

void CrashGuard::OnOutput(const EndpointProcess& endpoint,
                          const std::vector<CrashSuspect>& suspects) {
  m_quarantine.OnOutput(endpoint, suspects, m_context.clock.Now());
}

void CrashGuard::OnTellCrashes(const TellCrashes& told) {
  const TimeMs now = m_context.clock.Now();
  for (const QuarantinedSuspect& item : told.news.quarantined) {
    if (m_quarantine.Find({item.suspect}, now)) continue;
    m_context.log.Event("suspect_quarantine_heard")
        .Text("kind", ToText(item.suspect.kind))
        .Text("suspect", item.suspect.id)
        .Text("node", told.node.str())
        .Ms("remaining_ms", item.remaining);
  }
  for (const CrashSuspect& suspect : told.news.cleared) {
    if (!m_quarantine.Find({suspect}, now)) continue;
    m_context.log.Event("suspect_quarantine_lifted")
        .Text("kind", ToText(suspect.kind))
        .Text("suspect", suspect.id)
        .Text("node", told.node.str());
  }
  m_quarantine.OnNews(told.news, now);
  if (!told.asks) return;
  const CrashNews reminder = m_quarantine.Reminder(now);
  if (!reminder.empty()) {
    m_send(told.node, TellCrashes{m_context.settings.node, reminder, false});
  }
}

void CrashGuard::OnTick(TimeMs now) {
  CrashNews news = m_quarantine.TakeNews();
  Log(news);
  // A node that misses a crash may be the one that sends the request on.
  for (const CrashNews* told : {&m_last_news, &news}) {
    if (told->empty()) continue;
    m_broadcast(TellCrashes{m_context.settings.node, *told, false});
  }
  m_last_news = std::move(news);
  if (now - m_reminded < kRemindInterval) return;
  m_reminded = now;
  m_quarantine.Expire(now);
  Remind(now);
}

void CrashGuard::Log(const CrashNews& news) {
  for (const auto& [endpoint, runs] : news.broken_off) {
    m_context.log.Event("runs_broken_off")
        .Text("endpoint", endpoint.endpoint.str())
        .Number("suspects", runs.size());
  }
  for (const CrashSuspect& suspect : news.cleared) {
    m_context.log.Event("suspect_cleared")
        .Text("kind", ToText(suspect.kind))
        .Text("suspect", suspect.id);
  }
  for (const QuarantinedSuspect& item : news.quarantined) {
    m_context.metrics.suspects_quarantined.Add();
    m_context.log.Event("suspect_quarantined")
        .Text("kind", ToText(item.suspect.kind))
        .Text("suspect", item.suspect.id)
        .Ms("remaining_ms", item.remaining);
  }
}

void CrashGuard::OnNodesChanged() {
  if (m_has_asked || m_context.view.nodes().empty()) return;
  m_has_asked = true;
  TellCrashes told;
  told.node = m_context.settings.node;
  told.asks = true;
  SendToSome(told);
}

void CrashGuard::Remind(TimeMs now) {
  TellCrashes told;
  told.node = m_context.settings.node;
  told.news = m_quarantine.Reminder(now);
  if (!told.news.empty()) SendToSome(told);
}

void CrashGuard::SendToSome(const TellCrashes& told) {
  const auto& nodes = m_context.view.nodes();
  const std::size_t count = std::min(nodes.size(), kToldNodes);
  auto next = nodes.upper_bound(m_last_told);
  for (std::size_t i = 0; i < count; ++i) {
    if (next == nodes.end()) next = nodes.begin();
    m_last_told = next->first;
    if (m_last_told != m_context.settings.node) m_send(m_last_told, told);
    ++next;
  }
}

}  // namespace yuccamoor::fleet
