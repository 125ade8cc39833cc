#include "yuccamoor/coordination/fleet/registered_share.h"

namespace yuccamoor::fleet {

namespace {

// Others learn later than a node itself that it has lost its registration.
constexpr DurationMs kCountedLonger{5'000};

}  // namespace

ShareTimes ShareTimes::For(DurationMs max_propagation_delay) {
  ShareTimes times;
  times.current = max_propagation_delay / 2;
  times.activation = max_propagation_delay;
  return times;
}

void RegisteredShare::OnView(const std::map<NodeId, NodeRecord>& nodes,
                             const std::optional<TimeMs>& current_at,
                             TimeMs now) {
  m_current_at = current_at;
  for (const auto& [node, record] : nodes) m_seen[node] = now;
  std::erase_if(m_seen, [this, now](const auto& item) {
    return now - item.second > m_times.without_store + kCountedLonger;
  });
  if (!nodes.contains(m_self)) {
    m_registered.reset();
  } else if (!m_registered) {
    m_registered = now;
  }
}

double RegisteredShare::Part(TimeMs now) const {
  if (!m_registered || !m_current_at) return 0;
  const DurationMs registered = now - *m_registered;
  const DurationMs age = now - *m_current_at;
  if (registered < m_times.activation || age > m_times.without_store) return 0;
  double part = 1.0 / static_cast<double>(m_seen.size());
  if (age > m_times.current) part /= 2;
  if (!m_first_start && registered < m_times.without_store) part /= 2;
  return part;
}

}  // namespace yuccamoor::fleet
