#include "yuccamoor/coordination/quota/quota_share.h"

namespace yuccamoor::fleet {

namespace {

// A member that is removed learns of it, and its loans end, within this.
constexpr DurationMs kCountedLonger{5'000};

}  // namespace

void QuotaShare::OnMembers(const QuotaMembers& members,
                           const std::optional<TimeMs>& current_at,
                           TimeMs now) {
  m_current_at = current_at;
  m_is_settled = members.settled.contains(m_self);
  for (const auto* kind : {&members.joining, &members.settled}) {
    for (const NodeId& node : *kind) m_seen[node] = now;
  }
  std::erase_if(m_seen, [now](const auto& item) {
    return now - item.second > kCountedLonger;
  });
}

double QuotaShare::Part(TimeMs now) const {
  if (!m_is_settled || !m_current_at) return 0;
  const DurationMs age = now - *m_current_at;
  if (now - m_started < m_times.lent || age > m_times.without_store) return 0;
  const double part = 1.0 / static_cast<double>(m_seen.size());
  return age > m_times.current ? part / 2 : part;
}

}  // namespace yuccamoor::fleet
