/// \file
/// \brief A cell leader's orders: budget, fencing, evictions and loads.

#include <algorithm>
#include <cassert>
#include <utility>

#include "yuccamoor/coordination/cell/cell_leader.h"

namespace yuccamoor {
namespace {

constexpr double kMsPerSecond = 1'000;
/// How long a planned load keeps a part of the store's budget while its victim
/// drains. One that takes longer waits for the budget anew.
constexpr DurationMs kDrainPatience(250);

/// A target that is never resident: an order to evict it changes nothing but
/// the fencing number that the engine has seen.
const AdapterVersion& FenceTarget() {
  static const AdapterVersion target{AdapterId("yuccamoor-fence"),
                                     VersionId("none")};
  return target;
}

}  // namespace

void CellLeader::UpdateWorkers(TimeMs now) {
  for (auto& [id, guard] : m_workers) {
    WorkerState& worker = m_state.workers[guard.index];
    const bool heard = !worker.instance.empty() &&
                       now - guard.last_heard < m_options.worker_silence;
    const bool usable = heard && !guard.leaving && !guard.removed;
    if (usable && !worker.usable) m_grants_changed = true;
    worker.usable = usable;
  }
}

bool CellLeader::InheritedLoadsKnown(TimeMs now) const {
  if (now >= m_may_order_from + m_options.load_timeout) return true;
  return std::all_of(m_workers.begin(), m_workers.end(),
                     [](const auto& entry) { return entry.second.Trusted(); });
}

void CellLeader::UpdateBudget(TimeMs now) {
  StoreBudget& store = m_state.store;
  if (m_tokens_at) {
    const double seconds =
        static_cast<double>((now - *m_tokens_at).ms()) / kMsPerSecond;
    m_tokens =
        std::min(store.burst, m_tokens + seconds * store.loads_per_second);
    m_tokens_at = now;
  } else if (InheritedLoadsKnown(now)) {
    // The bucket starts empty: an earlier leader may just have emptied it.
    m_tokens_at = now;
  }
  const DurationMs longest = m_options.order_timeout + m_options.load_timeout;
  store.in_flight = 0;
  double planned = 0;
  for (const auto& [id, guard] : m_workers) {
    if (now < guard.clear_from + m_options.load_timeout) {
      store.in_flight += guard.stray_loads;
    }
  }
  for (const SlotKey& key : m_changing) {
    const SlotState& slot = *FindSlot(key);
    if (slot.phase != SlotPhase::kLoading) continue;
    const SlotGuard& guard = m_slots.at(key);
    // An order whose process was paused is written late.
    const bool open =
        guard.order && (!guard.order->unknown ||
                        now < guard.order->latest_end + m_options.load_timeout);
    if (guard.planned && now < slot.since + kDrainPatience) planned += 1;
    if (guard.planned || open || now < slot.since + longest) ++store.in_flight;
  }
  store.tokens = m_tokens_at ? std::max(0.0, m_tokens - planned) : 0;
}

void CellLeader::LiftEvictionFence(TimeMs now) {
  if (!m_evictions_fenced) return;
  const bool all_synced = m_gateways && !m_gateways->empty() &&
                          std::includes(m_synced.begin(), m_synced.end(),
                                        m_gateways->begin(), m_gateways->end());
  if (all_synced) {
    m_evictions_fenced = false;
    return;
  }
  if (now <= m_started + m_options.session_ttl + m_options.margin +
                 m_options.renew_grace) {
    return;
  }
  m_evictions_fenced = false;
  // What silent gateways began still may run.
  for (auto& [key, guard] : m_slots) {
    guard.idle_from = now;
    guard.needs_report = true;
  }
}

bool CellLeader::MayOrderTo(const WorkerId& worker, TimeMs now) const {
  if (m_superseded || now >= m_order_deadline) return false;
  const WorkerGuard& guard = m_workers.at(worker);
  if (now < guard.clear_from) return false;
  if (m_fencing) return guard.fenced;
  return now >= m_may_order_from && !m_clearance.all_barred;
}

bool CellLeader::IsIdle(const SlotKey& key) const {
  if (m_sessions.Outstanding(key) > 0) return false;
  const SlotGuard& guard = m_slots.at(key);
  if (guard.reported_at > guard.idle_from) return guard.reported_running == 0;
  return !guard.needs_report;
}

void CellLeader::Decide(TimeMs now) {
  const PlacementDecision decision = m_policy->Decide(m_state, now);
  for (const LoadDecision& load : decision.loads) Propose(load, now);
  for (const RefuseDecision& refusal : decision.refusals) Refuse(refusal);
}

void CellLeader::Propose(const LoadDecision& decision, TimeMs now) {
  const WorkerState* const worker = FindWorker(decision.worker);
  const SlotKey key{decision.worker, decision.target};
  if (!worker || !worker->usable || FindSlot(key)) return;
  if (!MayOrderTo(decision.worker, now)) return;
  if (IsBarred(key)) {
    const auto other = PlaceElsewhere(decision.target);
    if (other) Propose(*other, now);
    return;
  }
  const auto waiting = m_state.waiting.find(decision.target);
  if (waiting != m_state.waiting.end() && now < waiting->second.retry_at) {
    return;
  }
  if (decision.victim) {
    const SlotKey victim{decision.worker, *decision.victim};
    const SlotState* const slot = FindSlot(victim);
    if (!slot || slot->phase != SlotPhase::kReady || m_evictions_fenced) return;
    SetPhase(victim, SlotPhase::kDraining, now);
    m_sessions.Recall(victim);
  } else if (worker->FreeSlots() == 0) {
    return;
  }
  AddSlot(key, SlotPhase::kLoading, now).planned = true;
}

void CellLeader::EvictDrained(TimeMs now, CellActions& actions) {
  if (m_evictions_fenced) return;
  for (const SlotKey& key : m_changing) {
    SlotGuard& guard = m_slots.at(key);
    SlotState& slot = *FindSlot(key);
    if (slot.phase != SlotPhase::kDraining || guard.order) continue;
    if (!MayOrderTo(key.worker, now) || !IsIdle(key)) continue;
    if (!MayEvict(key)) continue;
    slot.phase = SlotPhase::kEvicting;
    slot.since = now;
    actions.emplace_back(MakeOrder(OrderKind::kEvict, key, now, guard.order));
  }
}

CellLeader::Room CellLeader::RoomOn(const WorkerState& worker) const {
  std::uint32_t taken = 0;
  bool clearing = false;
  for (const SlotState& slot : worker.occupied) {
    if (m_slots.at(SlotKey{worker.id, slot.target}).planned) continue;
    ++taken;
    clearing |= slot.phase == SlotPhase::kDraining ||
                slot.phase == SlotPhase::kEvicting;
  }
  if (taken < worker.slots) return Room::kFree;
  return clearing ? Room::kClearing : Room::kFull;
}

std::vector<SlotKey> CellLeader::PlannedLoads() const {
  std::vector<std::pair<TimeMs, SlotKey>> plans;
  for (const SlotKey& key : m_changing) {
    if (m_slots.at(key).planned) plans.emplace_back(FindSlot(key)->since, key);
  }
  std::sort(plans.begin(), plans.end());
  std::vector<SlotKey> keys;
  keys.reserve(plans.size());
  for (const auto& [since, key] : plans) keys.push_back(key);
  return keys;
}

void CellLeader::StartPlannedLoads(TimeMs now, CellActions& actions) {
  if (!m_tokens_at) return;
  const std::vector<SlotKey> plans = PlannedLoads();
  UpdateBudget(now);
  std::uint32_t in_flight =
      m_state.store.in_flight - static_cast<std::uint32_t>(plans.size());
  for (const SlotKey& key : plans) {
    const WorkerState& worker = *FindWorker(key.worker);
    const Room room = RoomOn(worker);
    if (!worker.usable || room == Room::kFull) {
      // The slot that it was to have is in use again.
      RemoveSlot(key);
      continue;
    }
    if (room != Room::kFree || !MayOrderTo(key.worker, now)) continue;
    if (m_tokens < 1 || in_flight >= m_state.store.max_in_flight) break;
    m_tokens -= 1;
    ++in_flight;
    SlotGuard& guard = m_slots.at(key);
    guard.planned = false;
    FindSlot(key)->since = now;
    actions.emplace_back(MakeOrder(OrderKind::kLoad, key, now, guard.order));
  }
  UpdateBudget(now);
}

void CellLeader::FenceWorkers(TimeMs now, CellActions& actions) {
  for (auto& [id, guard] : m_workers) {
    const bool asked =
        guard.fence && now < guard.fence->latest_end && !guard.fence->unknown;
    const bool unheard = m_state.workers[guard.index].instance.empty();
    if (guard.fenced || asked || unheard) continue;
    actions.emplace_back(MakeOrder(
        OrderKind::kEvict, SlotKey{id, FenceTarget()}, now, guard.fence));
  }
}

SendOrder CellLeader::MakeOrder(OrderKind kind, const SlotKey& key, TimeMs now,
                                std::optional<OpenOrder>& open) {
  m_last_order = m_last_order.Next();
  open = OpenOrder{m_last_order, now, false,
                   now + m_options.order_timeout + m_options.margin};
  const bool is_load = kind == OrderKind::kLoad;
  if (!is_load && !m_fencing) m_open_evictions.emplace(m_last_order, key);
  SendOrder send;
  send.address = FindWorker(key.worker)->address;
  send.order = EngineOrder{m_state.cell, m_epoch,    m_last_order,
                           kind,         key.worker, key.target};
  send.send_before = std::min(m_order_deadline, now + m_options.order_timeout);
  send.timeout = is_load ? m_options.order_timeout + m_options.load_timeout
                         : m_options.order_timeout;
  return send;
}

}  // namespace yuccamoor
