/// \file
/// \brief Implementation of the executor: drains, evictions and loads.

#include <algorithm>
#include <cassert>
#include <random>

#include "cell_executor.h"
#include "yuccamoor/coordination/backoff.h"
#include "yuccamoor/coordination/placement/cell_view.h"

namespace yuccamoor::placement_benchmark {
namespace {

/// A recall's way to the gateways and back.
constexpr DurationMs kRecallTime{4};
constexpr double kFailedLoadShare = 0.2;
constexpr double kMsPerSecond = 1'000;

}  // namespace

void CellExecutor::RefillBudget(TimeMs now) {
  StoreBudget& store = m_state.store;
  const auto elapsed = static_cast<double>((now - m_refilled_at).ms());
  m_refilled_at = now;
  store.tokens =
      std::min(store.burst,
               store.tokens + elapsed * store.loads_per_second / kMsPerSecond);
}

void CellExecutor::Apply(const PlacementDecision& decision, TimeMs now) {
  for (const RefuseDecision& refusal : decision.refusals) {
    m_callers.Refuse(IndexOf(refusal.target));
  }
  for (const LoadDecision& load : decision.loads) ApplyLoad(load, now);
}

void CellExecutor::ApplyLoad(const LoadDecision& load, TimeMs now) {
  const std::optional<std::uint32_t> worker = FindWorker(load.worker);
  const bool allowed = worker.has_value() && m_state.workers[*worker].usable &&
                       !Holds(m_state.workers[*worker], load.target) &&
                       !IsLoadUnderWay(m_state, load.target);
  const bool done =
      allowed &&
      (load.victim.has_value() ? StartDrain(*worker, load, now)
                               : StartLoad(*worker, IndexOf(load.target), now));
  if (!done) ++m_counts.rejected;
}

bool CellExecutor::StartDrain(std::uint32_t worker, const LoadDecision& load,
                              TimeMs now) {
  const TargetIndex victim = IndexOf(*load.victim);
  SlotState* slot = FindSlot(worker, victim);
  if (slot == nullptr || slot->phase != SlotPhase::kReady) return false;
  slot->phase = SlotPhase::kDraining;
  slot->since = now;
  slot->successor = load.target;
  const std::uint64_t stamp = m_next_stamp++;
  m_recalls[stamp] = Operation{worker, victim};
  m_events->Add(now + kRecallTime, EventKind::kRecalled, worker, stamp);
  return true;
}

void CellExecutor::OnRecalled(std::uint64_t stamp, TimeMs now) {
  const auto found = m_recalls.find(stamp);
  if (found == m_recalls.end()) return;
  const Operation recall = found->second;
  m_recalls.erase(found);
  SlotState* slot = FindSlot(recall.worker, recall.target);
  assert(slot != nullptr && "a draining slot stays until it is recalled");
  slot->phase = SlotPhase::kEvicting;
  slot->since = now;
  FinishDrains(recall.worker, now);
}

void CellExecutor::FinishDrains(std::uint32_t worker, TimeMs now) {
  std::vector<SlotState> finished;
  for (const SlotState& slot : m_state.workers[worker].occupied) {
    if (slot.phase != SlotPhase::kEvicting) continue;
    if (m_engines[worker].RunningFor(IndexOf(slot.target)) > 0) continue;
    finished.push_back(slot);
  }
  for (const SlotState& slot : finished) {
    RemoveSlot(worker, IndexOf(slot.target));
    ++m_counts.evictions;
    if (!slot.successor.has_value()) continue;
    StartLoad(worker, IndexOf(*slot.successor), now);
  }
}

void CellExecutor::RemoveSlot(std::uint32_t worker, TargetIndex target) {
  std::vector<SlotState>& slots = m_state.workers[worker].occupied;
  const AdapterVersion& name = m_workload->targets[target];
  slots.erase(
      std::remove_if(slots.begin(), slots.end(),
                     [&](const SlotState& s) { return s.target == name; }),
      slots.end());
  if (m_served[worker][target] == 0) ++m_counts.wasted_loads;
  m_served[worker].erase(target);
}

bool CellExecutor::StartLoad(std::uint32_t worker, TargetIndex target,
                             TimeMs now) {
  StoreBudget& store = m_state.store;
  const bool possible = m_state.workers[worker].FreeSlots() > 0 &&
                        FindSlot(worker, target) == nullptr &&
                        store.tokens >= 1 &&
                        store.in_flight < store.max_in_flight;
  if (!possible) return false;
  store.tokens -= 1;
  ++store.in_flight;
  ++m_counts.loads;
  SlotState slot;
  slot.target = m_workload->targets[target];
  slot.phase = SlotPhase::kLoading;
  slot.since = now;
  slot.last_used = now;
  m_state.workers[worker].occupied.push_back(slot);
  const std::uint64_t stamp = m_next_stamp++;
  m_loads[stamp] = Operation{worker, target};
  m_events->Add(now + store.load_time, EventKind::kLoadEnd, worker, stamp);
  return true;
}

void CellExecutor::OnLoadEnd(std::uint64_t stamp, TimeMs now) {
  const auto found = m_loads.find(stamp);
  if (found == m_loads.end()) return;
  const Operation load = found->second;
  m_loads.erase(found);
  --m_state.store.in_flight;
  const bool fails =
      m_scenario.kind == ScenarioKind::kFailingLoads &&
      std::uniform_real_distribution<>(0, 1)(m_random) < kFailedLoadShare;
  if (fails) {
    RemoveSlot(load.worker, load.target);
    const std::uint32_t failures = m_callers.FailedLoads(load.target) + 1;
    m_callers.OnLoadFailed(load.target, now + BackoffDelay({}, failures, 0.5));
    return;
  }
  m_callers.OnLoadSucceeded(load.target);
  SlotState* slot = FindSlot(load.worker, load.target);
  slot->phase = SlotPhase::kReady;
  slot->since = now;
  slot->last_used = now;
  Dispatch(load.target, now);
}

}  // namespace yuccamoor::placement_benchmark
