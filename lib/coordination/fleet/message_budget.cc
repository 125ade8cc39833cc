#include "yuccamoor/coordination/fleet/message_budget.h"

#include <tuple>

namespace yuccamoor::fleet {

void MessageBudget::Set(KeptMessageId message, const KeptSize& size,
                        TimeMs now) {
  const auto [it, is_new] = m_messages.try_emplace(message);
  Kept& kept = it->second;
  if (kept.given_up) return;
  m_bytes = m_bytes - kept.bytes + size.bytes;
  kept.bytes = size.bytes;
  const bool moved = size.moved - kept.progress >= m_options.progress_bytes;
  const bool begins = is_new || kept.is_served != size.is_served;
  kept.is_served = size.is_served;
  if (!begins && !moved) return;
  kept.progress = size.moved;
  kept.progress_at = now;
}

void MessageBudget::Remove(KeptMessageId message) {
  const auto it = m_messages.find(message);
  if (it == m_messages.end()) return;
  if (!it->second.given_up) m_bytes -= it->second.bytes;
  m_messages.erase(it);
}

std::optional<KeptMessageId> MessageBudget::TakeExcess(TimeMs now) {
  if (m_bytes <= m_options.max_bytes) return std::nullopt;
  auto first = m_messages.end();
  for (auto it = m_messages.begin(); it != m_messages.end(); ++it) {
    if (!MayGiveUp(it->second)) continue;
    if (first == m_messages.end() ||
        ComesFirst(it->second, first->second, now)) {
      first = it;
    }
  }
  if (first == m_messages.end()) return std::nullopt;
  first->second.given_up = true;
  m_bytes -= first->second.bytes;
  return first->first;
}

bool MessageBudget::IsStalled(const Kept& kept, TimeMs now) const {
  return !kept.is_served && now - kept.progress_at >= m_options.stalled_after;
}

bool MessageBudget::MayGiveUp(const Kept& kept) const {
  return !kept.given_up && kept.bytes >= m_options.small_bytes;
}

bool MessageBudget::ComesFirst(const Kept& a, const Kept& b, TimeMs now) const {
  const auto rank = [this, now](const Kept& kept) {
    return std::tuple(IsStalled(kept, now), !kept.is_served, kept.bytes);
  };
  return rank(a) > rank(b);
}

}  // namespace yuccamoor::fleet
