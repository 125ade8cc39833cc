/// \file
/// \brief A cell leader's dealings with gateways: sessions, grants, refusals.

#include <algorithm>
#include <cassert>
#include <utility>

#include "yuccamoor/coordination/cell/cell_leader.h"

namespace yuccamoor {
namespace {

/// Lease numbers are unique over epochs, so that a new leader can take over
/// those of an earlier one.
constexpr unsigned kLeaseEpochShift = 32;

}  // namespace

bool CellLeader::MayAnswer(const ResidencySync& sync, TimeMs now) const {
  if (m_superseded || sync.cell != m_state.cell || sync.epoch > m_epoch) {
    return false;
  }
  if (now < m_order_deadline) return true;
  // Another leader may begin now. It waits for the sessions that it has not
  // heard of, but would not know of a new one.
  return now < m_order_deadline + m_options.renew_grace &&
         m_sessions.Knows(sync.gateway, sync.incarnation);
}

CellActions CellLeader::OnSync(const ResidencySync& sync, TimeMs now) {
  CellActions actions;
  if (!MayAnswer(sync, now)) return actions;
  ResidencyUpdate resync;
  resync.cell = m_state.cell;
  resync.epoch = m_epoch;
  resync.gateway = sync.gateway;
  resync.incarnation = sync.incarnation;
  resync.acknowledged = sync.sequence;
  resync.resync = true;
  if (sync.epoch < m_epoch) {
    actions.emplace_back(SendUpdate{resync});
    return actions;
  }
  const auto known = m_sessions.sessions().find(sync.gateway);
  std::vector<ResidencyWant> before;
  if (known != m_sessions.sessions().end()) before = known->second.wants;
  const SessionTable::SyncResult result = m_sessions.OnSync(
      sync, now, now + m_options.session_ttl + m_options.margin);
  NoteEnded(result.ended, now);
  if (result.outcome == SyncOutcome::kStale) return actions;
  if (result.outcome == SyncOutcome::kUnknownSession) {
    actions.emplace_back(SendUpdate{resync});
    return actions;
  }
  NoteReturned(result.returned, now);
  for (const ResidencyHolding& holding : result.unknown) {
    Adopt(sync.gateway, holding);
  }
  if (sync.full) m_synced.insert(sync.gateway);
  NoteDemand(before, sync.wants, now);
  m_waiting_changed = true;
  Session& session = m_sessions.sessions().at(sync.gateway);
  if (now < m_order_deadline) GrantWants(sync.gateway, session);
  actions.emplace_back(SendUpdate{BuildUpdate(sync.gateway, session)});
  return actions;
}

void CellLeader::Adopt(const NodeId& gateway, const ResidencyHolding& holding) {
  const SlotKey key{holding.worker, holding.target};
  const WorkerState* const worker = FindWorker(holding.worker);
  const SlotState* const slot = FindSlot(key);
  GrantRecord record;
  record.grant.lease = holding.lease;
  record.grant.target = holding.target;
  record.grant.worker = holding.worker;
  record.grant.instance = holding.instance;
  if (worker) record.grant.address = worker->address;
  // Before the first report of a worker its slots are not known.
  const bool unreported = worker && worker->instance.empty();
  const bool resident = slot && slot->phase == SlotPhase::kReady &&
                        worker->instance == holding.instance;
  record.recalled = !unreported && !resident;
  m_sessions.Add(gateway, std::move(record));
  if (slot) FindSlot(key)->grants = m_sessions.Outstanding(key);
  m_grants_changed = true;
}

void CellLeader::NoteEnded(const EndedGrants& ended, TimeMs now) {
  for (const SlotKey& key : ended) {
    const auto guard = m_slots.find(key);
    if (guard == m_slots.end()) continue;
    guard->second.idle_from = now;
    guard->second.needs_report = true;
    FindSlot(key)->grants = m_sessions.Outstanding(key);
  }
  if (!ended.empty()) m_waiting_changed = true;
}

void CellLeader::NoteReturned(const std::vector<SlotKey>& slots, TimeMs now) {
  for (const SlotKey& key : slots) {
    const auto guard = m_slots.find(key);
    if (guard == m_slots.end()) continue;
    guard->second.idle_from = now;
    FindSlot(key)->grants = m_sessions.Outstanding(key);
  }
}

void CellLeader::NoteDemand(const std::vector<ResidencyWant>& before,
                            const std::vector<ResidencyWant>& after,
                            TimeMs now) {
  std::unordered_map<AdapterVersion, std::uint32_t> known;
  for (const ResidencyWant& want : before) known[want.target] = want.waiters;
  for (const ResidencyWant& want : after) {
    const auto it = known.find(want.target);
    const std::uint32_t old = it == known.end() ? 0 : it->second;
    if (want.waiters <= old) continue;
    m_policy->OnDemand(want.target, want.waiters - old, now);
  }
}

bool CellLeader::Grantable(const SlotKey& key) const {
  const SlotState* const slot = FindSlot(key);
  const WorkerState* const worker = FindWorker(key.worker);
  if (!slot || slot->phase != SlotPhase::kReady || !worker->usable) {
    return false;
  }
  if (IsBarred(key)) return false;
  // An eviction that was ordered earlier may be under way, unless a gateway
  // holds a grant: then there was none.
  const bool trusted =
      m_workers.at(key.worker).Trusted() && !m_clearance.all_barred;
  return trusted || m_sessions.IsHeld(key, worker->instance);
}

void CellLeader::GrantWants(const NodeId& gateway, Session& session) {
  for (const ResidencyWant& want : session.wants) {
    const auto locations = m_locations.find(want.target);
    if (locations == m_locations.end()) continue;
    for (const WorkerId& id : locations->second) {
      const SlotKey key{id, want.target};
      if (!Grantable(key) || SessionTable::Find(session, key)) continue;
      const WorkerState& worker = *FindWorker(id);
      GrantRecord record;
      ResidencyGrant& grant = record.grant;
      grant.lease = LeaseNumber((m_epoch.value() << kLeaseEpochShift) |
                                ++m_lease_counter);
      grant.target = want.target;
      grant.worker = id;
      grant.address = worker.address;
      grant.instance = worker.instance;
      m_sessions.Add(gateway, std::move(record));
      FindSlot(key)->grants = m_sessions.Outstanding(key);
    }
  }
}

std::uint32_t CellLeader::CreditOn(const WorkerId& id) const {
  if (m_options.credit > 0) return m_options.credit;
  const WorkerState* const worker = FindWorker(id);
  return worker ? worker->batch_capacity : 0;
}

void CellLeader::GrantAllWants() {
  for (auto& [gateway, session] : m_sessions.sessions()) {
    GrantWants(gateway, session);
  }
}

ResidencyUpdate CellLeader::BuildUpdate(const NodeId& gateway,
                                        Session& session) {
  ResidencyUpdate update;
  update.cell = m_state.cell;
  update.epoch = m_epoch;
  update.gateway = gateway;
  update.incarnation = session.incarnation;
  update.acknowledged = session.acknowledged;
  update.session_ttl = m_options.session_ttl;
  std::set<AdapterVersion> wanted;
  for (const ResidencyWant& want : session.wants) wanted.insert(want.target);
  for (const auto& [lease, record] : session.grants) {
    if (record.recalled) {
      update.recalls.push_back(lease);
    } else if (wanted.contains(record.grant.target)) {
      ResidencyGrant grant = record.grant;
      grant.credit = CreditOn(grant.worker);
      // Before the worker's first report the gateway keeps the credit it has.
      if (grant.credit > 0) update.grants.push_back(std::move(grant));
    }
  }
  const auto refusals = m_refusals.find(gateway);
  if (refusals != m_refusals.end()) {
    update.refusals = std::move(refusals->second);
    m_refusals.erase(refusals);
  }
  session.dirty = false;
  return update;
}

void CellLeader::CollectWaiting() {
  if (!std::exchange(m_waiting_changed, false)) return;
  m_state.waiting.clear();
  for (const auto& [gateway, session] : m_sessions.sessions()) {
    for (const ResidencyWant& want : session.wants) {
      const TimeMs since = session.synced_at - want.oldest_wait;
      const auto [it, added] = m_state.waiting.try_emplace(want.target);
      WaitingTarget& waiting = it->second;
      if (added) {
        waiting.target = want.target;
        waiting.priority = want.priority;
        waiting.since = since;
      }
      waiting.waiters += want.waiters;
      waiting.priority = std::min(waiting.priority, want.priority);
      waiting.since = std::min(waiting.since, since);
      waiting.deadline = std::min(waiting.deadline,
                                  session.synced_at + want.shortest_deadline);
    }
  }
  std::erase_if(m_failures, [&](const auto& entry) {
    return !m_state.waiting.contains(entry.first);
  });
  for (const auto& [target, failures] : m_failures) {
    WaitingTarget& waiting = m_state.waiting.at(target);
    waiting.failed_loads = failures.count;
    waiting.retry_at = failures.retry_at;
  }
}

void CellLeader::Refuse(const RefuseDecision& refusal) {
  for (auto& [gateway, session] : m_sessions.sessions()) {
    const std::size_t removed =
        std::erase_if(session.wants, [&](const ResidencyWant& want) {
          return want.target == refusal.target;
        });
    if (removed == 0) continue;
    const bool failed = m_failures.contains(refusal.target);
    m_refusals[gateway].push_back(ResidencyRefusal{
        refusal.target,
        failed ? RefusalReason::kLoadFailed : RefusalReason::kOverloaded,
        refusal.retry_after});
    session.dirty = true;
    m_waiting_changed = true;
  }
}

void CellLeader::OnGatewayGone(const NodeId& gateway, TimeMs now) {
  NoteEnded(m_sessions.Remove(gateway), now);
  m_refusals.erase(gateway);
  if (m_gateways) m_gateways->erase(gateway);
}

void CellLeader::OnGateways(std::vector<NodeId> gateways) {
  m_gateways.emplace(gateways.begin(), gateways.end());
}

}  // namespace yuccamoor
