#include "yuccamoor/transport/fleet/idle_connections.h"

#include <utility>

namespace yuccamoor::fleet {

namespace {
constexpr std::size_t kMaxIdlePerAddress = 32;
}  // namespace

std::unique_ptr<Socket> IdleConnections::Take(const std::string& address,
                                              TimeMs now) {
  const auto it = m_idle.find(address);
  if (it == m_idle.end()) return nullptr;
  std::vector<Idle>& idle = it->second;
  while (!idle.empty()) {
    Idle last = std::move(idle.back());
    idle.pop_back();
    if (now < last.usable_until && last.socket->IsQuiet()) {
      return std::move(last.socket);
    }
  }
  return nullptr;
}

void IdleConnections::Put(const std::string& address,
                          std::unique_ptr<Socket> socket, TimeMs usable_until) {
  std::vector<Idle>& idle = m_idle[address];
  if (idle.size() >= kMaxIdlePerAddress || Count() >= m_max_idle) return;
  socket->Detach();
  idle.push_back({std::move(socket), usable_until});
}

std::size_t IdleConnections::Count() const {
  std::size_t count = 0;
  for (const auto& [address, idle] : m_idle) count += idle.size();
  return count;
}

void IdleConnections::Drop(const std::string& address) {
  m_idle.erase(address);
}

void IdleConnections::Expire(TimeMs now) {
  for (auto it = m_idle.begin(); it != m_idle.end();) {
    std::erase_if(it->second,
                  [now](const Idle& idle) { return now >= idle.usable_until; });
    it = it->second.empty() ? m_idle.erase(it) : std::next(it);
  }
}

}  // namespace yuccamoor::fleet
