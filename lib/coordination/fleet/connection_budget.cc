#include "yuccamoor/coordination/fleet/connection_budget.h"

#include <tuple>

namespace yuccamoor::fleet {

void ConnectionBudget::Add(ConnectionId connection, TimeMs now) {
  const Open open{ConnectionPhase::kNew, now, 0, now};
  if (m_connections.emplace(connection, open).second) {
    m_descriptors += Descriptors(open);
  }
}

void ConnectionBudget::Set(ConnectionId connection, ConnectionPhase phase,
                           std::uint64_t moved, TimeMs now) {
  const auto it = m_connections.find(connection);
  if (it == m_connections.end()) return;
  Open& open = it->second;
  const bool begins = phase != open.phase;
  if (begins) {
    m_descriptors -= Descriptors(open);
    open.phase = phase;
    open.since = now;
    m_descriptors += Descriptors(open);
  }
  if (!begins && moved - open.progress < m_options.progress_bytes) return;
  open.progress = moved;
  open.progress_at = now;
}

void ConnectionBudget::Remove(ConnectionId connection) {
  const auto it = m_connections.find(connection);
  if (it == m_connections.end()) return;
  m_descriptors -= Descriptors(it->second);
  m_connections.erase(it);
}

std::optional<ConnectionId> ConnectionBudget::TakeExcess(TimeMs now) {
  if (IsWithin()) return std::nullopt;
  auto first = m_connections.end();
  for (auto it = m_connections.begin(); it != m_connections.end(); ++it) {
    if (it->second.phase == ConnectionPhase::kServed) continue;
    if (first == m_connections.end() ||
        ComesFirst(it->second, first->second, now)) {
      first = it;
    }
  }
  if (first == m_connections.end()) return std::nullopt;
  const ConnectionId taken = first->first;
  Remove(taken);
  return taken;
}

std::size_t ConnectionBudget::Descriptors(const Open& open) const {
  return open.phase == ConnectionPhase::kServed ? m_options.served_descriptors
                                                : 1;
}

int ConnectionBudget::CloseOrder(const Open& open, TimeMs now) const {
  constexpr int kStalled = 0;
  constexpr int kSilent = 1;
  constexpr int kIdle = 2;
  constexpr int kOther = 3;
  if (open.phase == ConnectionPhase::kIdle) return kIdle;
  const DurationMs waited = now - open.progress_at;
  if (waited >= m_options.stalled_after) return kStalled;
  const bool is_silent =
      open.phase == ConnectionPhase::kNew && waited >= m_options.silent_after;
  return is_silent ? kSilent : kOther;
}

bool ConnectionBudget::ComesFirst(const Open& a, const Open& b,
                                  TimeMs now) const {
  const auto rank = [this, now](const Open& open) {
    return std::tuple(CloseOrder(open, now), open.since);
  };
  return rank(a) < rank(b);
}

}  // namespace yuccamoor::fleet
