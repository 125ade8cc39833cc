/// \file
/// \brief A leader's sessions with gateways and the grants under them.

#include "yuccamoor/coordination/cell/session_table.h"

#include <algorithm>
#include <cassert>

namespace yuccamoor {
namespace {

SlotKey KeyOf(const ResidencyGrant& grant) {
  return SlotKey{grant.worker, grant.target};
}

}  // namespace

SessionTable::SyncResult SessionTable::OnSync(const ResidencySync& sync,
                                              TimeMs now, TimeMs expires) {
  SyncResult result;
  const auto known = m_sessions.find(sync.gateway);
  if (known != m_sessions.end()) {
    const Session& session = known->second;
    const bool older = sync.incarnation < session.incarnation ||
                       (sync.incarnation == session.incarnation &&
                        sync.sequence <= session.acknowledged);
    if (older) {
      result.outcome = SyncOutcome::kStale;
      return result;
    }
    if (sync.incarnation > session.incarnation) {
      result.ended = Remove(sync.gateway);
    }
  }
  if (!sync.full && !m_sessions.contains(sync.gateway)) {
    result.outcome = SyncOutcome::kUnknownSession;
    return result;
  }
  Session& session = m_sessions[sync.gateway];
  session.incarnation = sync.incarnation;
  session.acknowledged = sync.sequence;
  session.expires = expires;
  session.synced_at = now;
  session.wants = sync.wants;
  for (const LeaseNumber lease : sync.returns) {
    const auto grant = session.grants.find(lease);
    if (grant == session.grants.end()) continue;
    result.returned.push_back(KeyOf(grant->second.grant));
    Drop(session, lease);
  }
  if (sync.full) ApplyFull(sync, session, result);
  return result;
}

void SessionTable::ApplyFull(const ResidencySync& sync, Session& session,
                             SyncResult& result) {
  std::set<LeaseNumber> held;
  for (const ResidencyHolding& holding : sync.holdings) {
    held.insert(holding.lease);
    if (!session.grants.contains(holding.lease)) {
      result.unknown.push_back(holding);
    }
  }
  std::vector<LeaseNumber> gone;
  for (const auto& [lease, record] : session.grants) {
    if (!held.contains(lease)) gone.push_back(lease);
  }
  for (const LeaseNumber lease : gone) {
    result.returned.push_back(KeyOf(session.grants.at(lease).grant));
    Drop(session, lease);
  }
}

void SessionTable::Add(const NodeId& gateway, GrantRecord record) {
  const auto session = m_sessions.find(gateway);
  assert(session != m_sessions.end() && "a grant needs a session");
  const SlotKey key = KeyOf(record.grant);
  const LeaseNumber lease = record.grant.lease;
  const bool added =
      session->second.grants.emplace(lease, std::move(record)).second;
  if (added) ++m_outstanding[key];
  session->second.by_slot[key] = lease;
  session->second.dirty = true;
}

void SessionTable::Recall(const SlotKey& slot) {
  for (auto& [gateway, session] : m_sessions) {
    for (auto& [lease, record] : session.grants) {
      if (record.recalled || KeyOf(record.grant) != slot) continue;
      record.recalled = true;
      session.dirty = true;
    }
  }
}

void SessionTable::RecallWorker(const WorkerId& worker) {
  for (auto& [gateway, session] : m_sessions) {
    for (auto& [lease, record] : session.grants) {
      if (record.recalled || record.grant.worker != worker) continue;
      record.recalled = true;
      session.dirty = true;
    }
  }
}

EndedGrants SessionTable::Expire(TimeMs now) {
  std::vector<NodeId> expired;
  for (const auto& [gateway, session] : m_sessions) {
    if (session.expires < now) expired.push_back(gateway);
  }
  EndedGrants ended;
  for (const NodeId& gateway : expired) {
    const EndedGrants more = Remove(gateway);
    ended.insert(ended.end(), more.begin(), more.end());
  }
  return ended;
}

EndedGrants SessionTable::Remove(const NodeId& gateway) {
  EndedGrants ended;
  const auto session = m_sessions.find(gateway);
  if (session == m_sessions.end()) return ended;
  while (!session->second.grants.empty()) {
    const auto& [lease, record] = *session->second.grants.begin();
    ended.push_back(KeyOf(record.grant));
    Drop(session->second, lease);
  }
  m_sessions.erase(session);
  return ended;
}

void SessionTable::Drop(Session& session, LeaseNumber lease) {
  const auto grant = session.grants.find(lease);
  const SlotKey key = KeyOf(grant->second.grant);
  const auto count = m_outstanding.find(key);
  assert(count != m_outstanding.end() && "every grant is counted");
  const auto newest = session.by_slot.find(key);
  if (newest != session.by_slot.end() && newest->second == lease)
    session.by_slot.erase(newest);
  if (--count->second == 0) m_outstanding.erase(count);
  session.grants.erase(grant);
}

std::uint32_t SessionTable::Outstanding(const SlotKey& slot) const {
  const auto count = m_outstanding.find(slot);
  return count == m_outstanding.end() ? 0 : count->second;
}

bool SessionTable::Knows(const NodeId& gateway, Incarnation incarnation) const {
  const auto session = m_sessions.find(gateway);
  return session != m_sessions.end() &&
         session->second.incarnation == incarnation;
}

const GrantRecord* SessionTable::Find(const Session& session,
                                      const SlotKey& slot) {
  const auto lease = session.by_slot.find(slot);
  if (lease == session.by_slot.end()) return nullptr;
  return &session.grants.at(lease->second);
}

}  // namespace yuccamoor
