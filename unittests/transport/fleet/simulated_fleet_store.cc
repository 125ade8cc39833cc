#include "transport/fleet/simulated_fleet_store.h"

#include <optional>

namespace yuccamoor::fleet {

namespace {

constexpr DurationMs kCopyInterval{250};
constexpr std::size_t kCopies = 48;

}  // namespace

void SimulatedFleetStore::OnTick() {
  const TimeMs now = m_clock.Now();
  const bool away = now < m_away_until;
  if (!away || !m_leases_pause) {
    EndLeases([now](const Lease& lease) { return now >= lease.ends; });
  }
  if (away) return;
  if (!m_copies.empty() && now - m_copies.back().first < kCopyInterval) return;
  m_copies.emplace_back(now, m_content);
  if (m_copies.size() > kCopies) m_copies.pop_front();
}

void SimulatedFleetStore::BeAway(TimeMs until, bool leases_pause) {
  const TimeMs now = m_clock.Now();
  if (now < m_away_until) return;
  m_away_until = until;
  m_leases_pause = leases_pause;
  if (!leases_pause) return;
  for (auto& [id, lease] : m_content.leases) {
    lease.ends = lease.ends + (until - now);
  }
}

void SimulatedFleetStore::TurnAway(const NodeId& node, TimeMs until) {
  m_turned_away[node] = until;
}

void SimulatedFleetStore::RevokeLeases(const NodeId& node) {
  EndLeases([&node](const Lease& lease) { return lease.node == node; });
}

void SimulatedFleetStore::Restore(DurationMs age) {
  const TimeMs now = m_clock.Now();
  std::optional<Content> copy;
  for (const auto& [at, content] : m_copies) {
    if (now - at >= age) copy = content;
  }
  if (!copy) return;
  m_content = *std::move(copy);
  // The lease's time begins anew where the copy is taken up.
  for (auto& [id, lease] : m_content.leases) lease.ends = now + lease.ttl;
  m_copies.clear();
  m_era = StoreEra(m_era.value() + 1);
}

bool SimulatedFleetStore::Serves(const NodeId& node) const {
  const TimeMs now = m_clock.Now();
  const auto turned = m_turned_away.find(node);
  return now >= m_away_until &&
         (turned == m_turned_away.end() || now >= turned->second);
}

void SimulatedFleetStore::Put(const EndpointEntry& entry) {
  m_engines[entry.id] = entry;
  Log(EndpointWritten{entry});
}

void SimulatedFleetStore::Remove(const EndpointId& engine) {
  m_engines.erase(engine);
  Log(EndpointRemoved{engine});
}

StoreLease SimulatedFleetStore::Grant(const NodeId& node, DurationMs ttl) {
  const StoreLease lease(++m_content.last_lease);
  m_content.leases[lease] = {node, ttl, m_clock.Now() + ttl};
  return lease;
}

bool SimulatedFleetStore::Renew(StoreLease lease) {
  const auto it = m_content.leases.find(lease);
  if (it == m_content.leases.end()) return false;
  it->second.ends = m_clock.Now() + it->second.ttl;
  return true;
}

WriteReply SimulatedFleetStore::Write(const std::string& key,
                                      const std::string& value,
                                      StoreLease lease, bool may_exist) {
  WriteReply reply;
  reply.era = m_era;
  if (!m_content.leases.contains(lease)) {
    reply.status = StoreStatus::kLeaseEnded;
  } else if (!may_exist && m_content.records.contains(key)) {
    reply.status = StoreStatus::kConflict;
  } else {
    reply.status = StoreStatus::kOk;
    reply.revision = Revision(m_content.revision + 1);
    const RecordWritten record{key, value, reply.revision, m_era};
    m_content.records[key] = {record, lease};
    Log(record);
  }
  return reply;
}

std::vector<StoreChange> SimulatedFleetStore::All() const {
  std::vector<StoreChange> all;
  for (const auto& [id, entry] : m_engines) {
    all.emplace_back(EndpointWritten{entry});
  }
  for (const auto& [key, record] : m_content.records) {
    RecordWritten written = record.written;
    written.era = m_era;
    all.emplace_back(written);
  }
  return all;
}

std::vector<StoreChange> SimulatedFleetStore::After(Revision revision) const {
  std::vector<StoreChange> changes;
  for (const auto& [at, change] : m_content.history) {
    if (at > revision) changes.push_back(change);
  }
  return changes;
}

void SimulatedFleetStore::Log(StoreChange change) {
  m_content.history.emplace_back(Revision(++m_content.revision),
                                 std::move(change));
}

void SimulatedFleetStore::EndLeases(
    const std::function<bool(const Lease&)>& is_over) {
  std::set<StoreLease> over;
  for (const auto& [id, lease] : m_content.leases) {
    if (is_over(lease)) over.insert(id);
  }
  std::vector<std::string> keys;
  for (const auto& [key, record] : m_content.records) {
    if (over.contains(record.lease)) keys.push_back(key);
  }
  for (const std::string& key : keys) {
    m_content.records.erase(key);
    Log(RecordRemoved{key});
  }
  for (const StoreLease& lease : over) m_content.leases.erase(lease);
}

}  // namespace yuccamoor::fleet
