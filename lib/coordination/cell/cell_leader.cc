/// \file
/// \brief Construction of a cell's leader, and its table of workers and slots.

#include "yuccamoor/coordination/cell/cell_leader.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace yuccamoor {
namespace {

Findings CheckConfig(const CellConfig& config, Epoch epoch) {
  Findings findings;
  Place place;
  place.source = "cell " + config.id.str();
  if (epoch == Epoch()) findings.Add(place, "the epoch is zero");
  if (config.store_max_in_flight == 0) {
    findings.Add(place, "the store allows no load at all");
  }
  if (config.store_loads_per_second <= 0) {
    findings.Add(place, "the store's rate is not positive");
  }
  std::set<WorkerId> seen;
  for (const WorkerConfig& worker : config.workers) {
    if (seen.insert(worker.id).second) continue;
    findings.Add(place, "worker " + worker.id.str() + " is listed twice");
  }
  return findings;
}

}  // namespace

Result<CellLeader> CellLeader::Create(const CellConfig& config, Epoch epoch,
                                      TimeMs may_order_from,
                                      std::unique_ptr<PlacementPolicy> policy,
                                      CellLeaderOptions options, TimeMs now) {
  assert(policy && "a leader needs a policy");
  Findings findings = CheckConfig(config, epoch);
  if (!findings.empty()) return findings;
  return CellLeader(config, epoch, may_order_from, std::move(policy), options,
                    now);
}

CellLeader::CellLeader(const CellConfig& config, Epoch epoch,
                       TimeMs may_order_from,
                       std::unique_ptr<PlacementPolicy> policy,
                       CellLeaderOptions options, TimeMs now)
    : m_options(options),
      m_epoch(epoch),
      m_started(now),
      m_may_order_from(may_order_from),
      m_fencing(config.engines_check_epoch),
      m_policy(std::move(policy)) {
  m_state.cell = config.id;
  OnConfig(config);
}

void CellLeader::OnConfig(const CellConfig& config) {
  m_state.weights = config.weights;
  m_state.store.loads_per_second = config.store_loads_per_second;
  m_state.store.max_in_flight = config.store_max_in_flight;
  m_state.store.load_time = config.load_time;
  for (auto& [id, guard] : m_workers) guard.removed = true;
  for (const WorkerConfig& worker : config.workers) AddWorker(worker);
  for (const auto& [id, guard] : m_workers) {
    if (guard.removed) m_sessions.RecallWorker(id);
  }
}

void CellLeader::AddWorker(const WorkerConfig& config) {
  const auto [it, added] = m_workers.try_emplace(config.id);
  WorkerGuard& guard = it->second;
  guard.removed = false;
  if (added) {
    guard.index = m_state.workers.size();
    guard.trusted_from = m_fencing ? TimeMs::Never() : m_may_order_from;
    m_state.workers.emplace_back().id = config.id;
  }
  WorkerState& worker = m_state.workers[guard.index];
  worker.address = config.address;
  worker.failure_domain = config.failure_domain;
}

bool CellLeader::NeedsReport(const WorkerId& worker) const {
  const auto guard = m_workers.find(worker);
  if (guard == m_workers.end()) return false;
  if (!FindWorker(worker)->usable || !guard->second.Trusted()) return true;
  return std::any_of(m_changing.begin(), m_changing.end(),
                     [&](const SlotKey& key) { return key.worker == worker; });
}

CellActions CellLeader::Tick(TimeMs now, TimeMs order_deadline) {
  CellActions actions;
  m_order_deadline = order_deadline;
  NoteEnded(m_sessions.Expire(now), now);
  UpdateWorkers(now);
  LiftEvictionFence(now);
  DrainBarred(now);
  UpdateBudget(now);
  CollectWaiting();
  if (now < m_order_deadline && !m_superseded) {
    if (m_fencing) FenceWorkers(now, actions);
    EvictDrained(now, actions);
    StartPlannedLoads(now, actions);
    Decide(now);
    EvictDrained(now, actions);
    StartPlannedLoads(now, actions);
    if (std::exchange(m_grants_changed, false)) GrantAllWants();
  }
  for (auto& [gateway, session] : m_sessions.sessions()) {
    if (!session.dirty) continue;
    actions.emplace_back(SendUpdate{BuildUpdate(gateway, session)});
  }
  return actions;
}

const WorkerState* CellLeader::FindWorker(const WorkerId& id) const {
  const auto guard = m_workers.find(id);
  if (guard == m_workers.end()) return nullptr;
  return &m_state.workers[guard->second.index];
}

WorkerState* CellLeader::FindWorker(const WorkerId& id) {
  return const_cast<WorkerState*>(std::as_const(*this).FindWorker(id));
}

const SlotState* CellLeader::FindSlot(const SlotKey& key) const {
  const WorkerState* const worker = FindWorker(key.worker);
  if (!worker) return nullptr;
  const auto slot =
      std::find_if(worker->occupied.begin(), worker->occupied.end(),
                   [&](const SlotState& s) { return s.target == key.target; });
  return slot == worker->occupied.end() ? nullptr : &*slot;
}

SlotState* CellLeader::FindSlot(const SlotKey& key) {
  return const_cast<SlotState*>(std::as_const(*this).FindSlot(key));
}

CellLeader::SlotGuard& CellLeader::AddSlot(const SlotKey& key, SlotPhase phase,
                                           TimeMs now) {
  WorkerState* const worker = FindWorker(key.worker);
  assert(worker && !FindSlot(key) && "one slot per target and worker");
  SlotState slot;
  slot.target = key.target;
  slot.phase = phase;
  slot.since = now;
  slot.last_used = now;
  slot.grants = m_sessions.Outstanding(key);
  worker->occupied.push_back(std::move(slot));
  m_locations[key.target].insert(key.worker);
  m_grants_changed = true;
  if (phase != SlotPhase::kReady) m_changing.insert(key);
  SlotGuard& guard = m_slots[key];
  guard = SlotGuard();
  guard.idle_from = now;
  return guard;
}

void CellLeader::RemoveSlot(const SlotKey& key) {
  WorkerState* const worker = FindWorker(key.worker);
  std::erase_if(worker->occupied, [&](const SlotState& slot) {
    return slot.target == key.target;
  });
  const auto location = m_locations.find(key.target);
  location->second.erase(key.worker);
  if (location->second.empty()) m_locations.erase(location);
  m_changing.erase(key);
  m_slots.erase(key);
}

void CellLeader::SetPhase(const SlotKey& key, SlotPhase phase, TimeMs now) {
  SlotState* const slot = FindSlot(key);
  assert(slot && "only a known slot changes its phase");
  slot->phase = phase;
  slot->since = now;
  if (phase == SlotPhase::kReady) {
    m_changing.erase(key);
    m_grants_changed = true;
  } else {
    m_changing.insert(key);
  }
}

}  // namespace yuccamoor
