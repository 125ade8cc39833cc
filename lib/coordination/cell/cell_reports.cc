/// \file
/// \brief A cell leader's view of its engines: reports and order results.

#include <algorithm>
#include <cassert>
#include <utility>

#include "yuccamoor/coordination/cell/cell_leader.h"

namespace yuccamoor {
namespace {

/// Earlier instances of a worker whose late reports are told apart.
constexpr std::size_t kMaxPastInstances = 16;

}  // namespace

void CellLeader::OnReport(const EngineReport& report, TimeMs now) {
  const auto known = m_workers.find(report.worker);
  if (known == m_workers.end()) return;
  WorkerGuard& guard = known->second;
  if (!TakeInstance(report, guard, now)) return;
  WorkerState& worker = m_state.workers[guard.index];
  const TimeMs truth = now - report.age;
  const bool was_trusted = guard.Trusted();
  guard.last_report = report.sequence;
  guard.last_heard = now;
  guard.truth = std::max(guard.truth, truth);
  if (!was_trusted && guard.Trusted()) m_grants_changed = true;
  if (guard.Trusted()) guard.stray_loads = 0;
  if (report.leaving && !guard.leaving) m_sessions.RecallWorker(worker.id);
  guard.leaving = report.leaving;
  worker.slots = report.slots;
  worker.batch_capacity = report.batch_capacity;
  worker.running = report.running;
  for (const ResidentReport& resident : report.residents) {
    TakeResident(SlotKey{worker.id, resident.target}, resident.running, truth,
                 now);
  }
  for (const AdapterVersion& target : report.loading) {
    const SlotKey key{worker.id, target};
    if (!FindSlot(key)) AddSlot(key, SlotPhase::kLoading, now);
  }
  TakeAllAbsent(report, truth, now);
}

bool CellLeader::TakeInstance(const EngineReport& report, WorkerGuard& guard,
                              TimeMs now) {
  const auto& past = guard.past_instances;
  if (std::find(past.begin(), past.end(), report.instance) != past.end()) {
    return false;
  }
  WorkerState& worker = m_state.workers[guard.index];
  if (worker.instance == report.instance) {
    return report.sequence > guard.last_report;
  }
  if (!worker.instance.empty()) {
    guard.past_instances.push_back(worker.instance);
    if (past.size() > kMaxPastInstances) guard.past_instances.pop_front();
    ClearWorker(worker, guard, now);
    // The new life of the engine has seen no fencing number yet.
    guard.fenced = false;
    guard.fence.reset();
    if (m_fencing) guard.trusted_from = TimeMs::Never();
  }
  worker.instance = report.instance;
  return true;
}

void CellLeader::ClearWorker(const WorkerState& worker, WorkerGuard& guard,
                             TimeMs now) {
  // The grants stay counted until they are returned: a gateway that does not
  // know of the restart yet may send to the new instance.
  m_sessions.RecallWorker(worker.id);
  std::vector<SlotKey> keys;
  for (const SlotState& slot : worker.occupied) {
    keys.push_back(SlotKey{worker.id, slot.target});
  }
  for (const SlotKey& key : keys) {
    if (m_slots.at(key).order) {
      guard.clear_from = now + m_options.order_timeout + m_options.margin;
      if (FindSlot(key)->phase == SlotPhase::kLoading) ++guard.stray_loads;
    }
    RemoveSlot(key);
  }
}

void CellLeader::TakeResident(const SlotKey& key, std::uint32_t running,
                              TimeMs truth, TimeMs now) {
  SlotState* slot = FindSlot(key);
  if (!slot) {
    AddSlot(key, SlotPhase::kReady, now).needs_report = true;
    slot = FindSlot(key);
  }
  SlotGuard& guard = m_slots.at(key);
  if (truth > guard.reported_at) {
    guard.reported_at = truth;
    guard.reported_running = running;
    slot->running = running;
    if (running > 0) slot->last_used = now;
  }
  if (guard.planned) {
    // Loaded by an order that was given up; the plan is met.
    guard.planned = false;
    SetPhase(key, SlotPhase::kReady, now);
    return;
  }
  const std::optional<OpenOrder>& order = guard.order;
  if (slot->phase == SlotPhase::kLoading && (!order || truth > order->sent)) {
    guard.order.reset();
    SetPhase(key, SlotPhase::kReady, now);
  } else if (slot->phase == SlotPhase::kEvicting && order && order->unknown &&
             truth > order->latest_end) {
    // The eviction never reached the engine: it is ordered again.
    guard.order.reset();
    SetPhase(key, SlotPhase::kDraining, now);
  }
}

void CellLeader::TakeAllAbsent(const EngineReport& report, TimeMs truth,
                               TimeMs now) {
  std::set<AdapterVersion> present(report.loading.begin(),
                                   report.loading.end());
  for (const ResidentReport& resident : report.residents) {
    present.insert(resident.target);
  }
  std::vector<SlotKey> absent;
  for (const SlotState& slot : FindWorker(report.worker)->occupied) {
    if (present.contains(slot.target)) continue;
    absent.push_back(SlotKey{report.worker, slot.target});
  }
  for (const SlotKey& key : absent) TakeAbsent(key, truth, now);
}

void CellLeader::TakeAbsent(const SlotKey& key, TimeMs truth, TimeMs now) {
  const SlotGuard& guard = m_slots.at(key);
  const SlotState& slot = *FindSlot(key);
  if (guard.planned) return;
  if (guard.order) {
    const bool settled =
        guard.order->unknown && truth > guard.order->latest_end;
    if (!settled) return;
    if (slot.phase == SlotPhase::kLoading) NoteFailedLoad(key.target, now);
  } else if (truth <= slot.since) {
    return;
  }
  m_sessions.Recall(key);
  RemoveSlot(key);
}

void CellLeader::OnOrderResult(const OrderResult& result, TimeMs now) {
  if (result.epoch != m_epoch) return;
  m_open_evictions.erase(result.number);
  if (result.status == OrderStatus::kStaleEpoch) m_superseded = true;
  const auto worker = m_workers.find(result.worker);
  if (worker == m_workers.end()) return;
  if (worker->second.fence && worker->second.fence->number == result.number) {
    OnFenceResult(result, worker->second, now);
    return;
  }
  const auto slot =
      std::find_if(m_slots.begin(), m_slots.end(), [&](const auto& entry) {
        const auto& order = entry.second.order;
        return order && order->number == result.number;
      });
  if (slot == m_slots.end()) return;
  const SlotKey key = slot->first;
  OpenOrder& order = *slot->second.order;
  const bool other_instance =
      result.status == OrderStatus::kDone &&
      result.instance != FindWorker(key.worker)->instance;
  if (result.status == OrderStatus::kUnknown || other_instance) {
    order.unknown = true;
    order.latest_end = now + m_options.order_timeout + m_options.margin;
    return;
  }
  slot->second.order.reset();
  if (FindSlot(key)->phase == SlotPhase::kLoading) {
    OnLoadResult(key, result, now);
  } else {
    OnEvictResult(key, result);
  }
}

void CellLeader::OnFenceResult(const OrderResult& result, WorkerGuard& worker,
                               TimeMs now) {
  const bool reached = result.status == OrderStatus::kDone ||
                       result.status == OrderStatus::kFailed ||
                       result.status == OrderStatus::kNoSlot;
  if (!reached) {
    worker.fence->unknown = true;
    return;
  }
  worker.fenced = true;
  worker.trusted_from = now;
  worker.fence.reset();
}

void CellLeader::OnLoadResult(const SlotKey& key, const OrderResult& result,
                              TimeMs now) {
  if (result.status == OrderStatus::kDone) {
    SetPhase(key, SlotPhase::kReady, now);
    return;
  }
  if (result.status != OrderStatus::kNotSent) NoteFailedLoad(key.target, now);
  RemoveSlot(key);
}

void CellLeader::OnEvictResult(const SlotKey& key, const OrderResult& result) {
  const bool gone = result.status == OrderStatus::kDone ||
                    result.status == OrderStatus::kFailed;
  if (gone) {
    RemoveSlot(key);
    return;
  }
  FindSlot(key)->phase = SlotPhase::kDraining;
}

void CellLeader::NoteFailedLoad(const AdapterVersion& target, TimeMs now) {
  // Only waiting targets are kept, which bounds the table.
  if (!m_state.waiting.contains(target)) return;
  constexpr double kMiddle = 0.5;
  LoadFailures& failures = m_failures[target];
  ++failures.count;
  failures.retry_at =
      now + BackoffDelay(m_options.load_backoff, failures.count, kMiddle);
  m_waiting_changed = true;
}

}  // namespace yuccamoor
