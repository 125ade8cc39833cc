#include "yuccamoor/transport/fleet/prompt_guard.h"

#include <algorithm>
#include <utility>

#include "yuccamoor/coordination/fleet/fleet_size.h"

namespace yuccamoor::fleet {

namespace {

// Nodes that have started since or have lost a datagram hear of the quarantined
// parts again.
constexpr DurationMs kRemindInterval{1'000};
// Reaches all nodes of a small fleet, and spreads through a large one in steps.
constexpr std::size_t kToldNodes = kMaxSmallFleetNodes;

}  // namespace

PromptGuard::PromptGuard(NodeContext& context, SendToPeer send,
                         Broadcast broadcast)
    : m_context(context),
      m_send(std::move(send)),
      m_broadcast(std::move(broadcast)) {}

void PromptGuard::OnBrokenOff(const EndpointProcess& engine,
                              const std::vector<PromptPartId>& parts) {
  if (parts.empty()) return;
  m_quarantine.OnBrokenOff(engine, parts, m_context.clock.Now());
}

void PromptGuard::OnOutput(const std::vector<PromptPartId>& parts) {
  m_quarantine.OnOutput(parts, m_context.clock.Now());
}

void PromptGuard::OnTellPromptParts(const TellPromptParts& told) {
  const TimeMs now = m_context.clock.Now();
  for (const QuarantinedPart& item : told.news.quarantined) {
    if (m_quarantine.Find({item.part}, now)) continue;
    m_context.log.Event("prompt_part_quarantine_heard")
        .Text("part", item.part.str())
        .Text("node", told.node.str())
        .Ms("remaining_ms", item.remaining);
  }
  for (const PromptPartId& part : told.news.cleared) {
    if (!m_quarantine.Find({part}, now)) continue;
    m_context.log.Event("prompt_part_quarantine_lifted")
        .Text("part", part.str())
        .Text("node", told.node.str());
  }
  m_quarantine.OnNews(told.news, now);
  if (!told.asks) return;
  const PromptPartNews reminder = m_quarantine.Reminder(now);
  if (!reminder.empty()) {
    m_send(told.node,
           TellPromptParts{m_context.settings.node, reminder, false});
  }
}

std::optional<QuarantinedPart> PromptGuard::FindQuarantined(
    const std::vector<PromptPartId>& parts) const {
  return m_quarantine.Find(parts, m_context.clock.Now());
}

void PromptGuard::OnTick(TimeMs now) {
  const PromptPartNews news = m_quarantine.TakeNews();
  if (!news.empty()) {
    Log(news);
    m_broadcast(TellPromptParts{m_context.settings.node, news, false});
  }
  if (now - m_reminded < kRemindInterval) return;
  m_reminded = now;
  m_quarantine.Expire(now);
  Remind(now);
}

void PromptGuard::Log(const PromptPartNews& news) {
  for (const auto& [engine, parts] : news.broken_off) {
    m_context.log.Event("prompts_broken_off")
        .Text("engine", engine.endpoint.str())
        .Number("parts_suspected", parts.size());
  }
  for (const PromptPartId& part : news.cleared) {
    m_context.log.Event("prompt_part_cleared").Text("part", part.str());
  }
  for (const QuarantinedPart& item : news.quarantined) {
    m_context.metrics.prompt_parts_quarantined.Add();
    m_context.log.Event("prompt_part_quarantined")
        .Text("part", item.part.str())
        .Ms("remaining_ms", item.remaining);
  }
}

void PromptGuard::OnNodesChanged() {
  if (m_has_asked || m_context.view.nodes().empty()) return;
  m_has_asked = true;
  TellPromptParts told;
  told.node = m_context.settings.node;
  told.asks = true;
  SendToSome(told);
}

void PromptGuard::Remind(TimeMs now) {
  TellPromptParts told;
  told.node = m_context.settings.node;
  told.news = m_quarantine.Reminder(now);
  if (!told.news.empty()) SendToSome(told);
}

void PromptGuard::SendToSome(const TellPromptParts& told) {
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
