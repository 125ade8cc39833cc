/// \file
/// \brief Implementation of the executor: requests, reports and restarts.

#include "cell_executor.h"

#include <algorithm>
#include <string>

namespace yuccamoor::placement_benchmark {
namespace {

constexpr std::uint32_t kMaxInFlight = 8;

CellState MakeState(const Scenario& scenario) {
  CellState state;
  state.cell = CellId(scenario.deployment.name);
  state.store.loads_per_second = scenario.deployment.loads_per_second;
  state.store.tokens = state.store.burst;
  state.store.max_in_flight = kMaxInFlight;
  state.store.load_time = CellExecutor::kLoadTime;
  state.weights = scenario.deployment.weights;
  for (std::uint32_t i = 0; i < scenario.deployment.workers; ++i) {
    WorkerState worker;
    worker.id = WorkerId("worker-" + std::to_string(i));
    worker.failure_domain =
        FailureDomainId("domain-" + std::to_string(i % kFailureDomains));
    worker.slots = scenario.slots;
    worker.batch_capacity = scenario.batch_capacity;
    worker.usable = true;
    state.workers.push_back(std::move(worker));
  }
  return state;
}

}  // namespace

CellExecutor::CellExecutor(const Scenario& scenario, const Workload* workload,
                           EventQueue* events)
    : m_scenario(scenario),
      m_workload(workload),
      m_events(events),
      m_state(MakeState(scenario)),
      m_callers(workload, &m_state),
      m_engines(scenario.deployment.workers,
                FakeEngine(scenario.batch_capacity)),
      m_reports(scenario.deployment.workers),
      m_random(scenario.seed) {}

TargetIndex CellExecutor::IndexOf(const AdapterVersion& target) const {
  return m_workload->index_of.at(target);
}

SlotState* CellExecutor::FindSlot(std::uint32_t worker, TargetIndex target) {
  std::vector<SlotState>& slots = m_state.workers[worker].occupied;
  const AdapterVersion& name = m_workload->targets[target];
  const auto found =
      std::find_if(slots.begin(), slots.end(),
                   [&](const SlotState& slot) { return slot.target == name; });
  return found == slots.end() ? nullptr : &*found;
}

std::optional<std::uint32_t> CellExecutor::FindWorker(
    const WorkerId& id) const {
  for (std::uint32_t i = 0; i < m_state.workers.size(); ++i) {
    if (m_state.workers[i].id == id) return i;
  }
  return std::nullopt;
}

std::optional<std::uint32_t> CellExecutor::ReadyWorker(TargetIndex target) {
  std::optional<std::uint32_t> best;
  for (std::uint32_t i = 0; i < m_engines.size(); ++i) {
    if (!m_state.workers[i].usable || !m_engines[i].HasRoom()) continue;
    const SlotState* slot = FindSlot(i, target);
    if (slot == nullptr || slot->phase != SlotPhase::kReady) continue;
    if (best.has_value() &&
        m_engines[*best].running() <= m_engines[i].running())
      continue;
    best = i;
  }
  return best;
}

void CellExecutor::ScheduleProgress(std::uint32_t worker, TimeMs now) {
  const std::optional<TimeMs> next = m_engines[worker].NextFinish();
  if (!next.has_value()) return;
  m_events->Add(std::max(*next, now), EventKind::kEngineProgress, worker);
}

StartResult CellExecutor::StartWarm(RequestIndex request, TimeMs now) {
  const CallerRequest& caller = m_workload->requests[request];
  if (m_callers.HasWaiters(caller.target)) return StartResult::kMustWait;
  const std::optional<std::uint32_t> worker = ReadyWorker(caller.target);
  if (!worker.has_value()) return StartResult::kMustWait;
  m_engines[*worker].Start(request, caller.target, caller.tokens, now);
  m_callers.StartWarm(request, *worker, now);
  ++m_served[*worker][caller.target];
  ScheduleProgress(*worker, now);
  return StartResult::kStarted;
}

void CellExecutor::Wait(RequestIndex request, TimeMs now, bool first) {
  m_callers.Enqueue(request, now, first);
}

void CellExecutor::Dispatch(TargetIndex target, TimeMs now) {
  while (m_callers.HasWaiters(target)) {
    const std::optional<std::uint32_t> worker = ReadyWorker(target);
    if (!worker.has_value()) return;
    const RequestIndex request = m_callers.StartNext(target, *worker, now);
    const std::uint32_t tokens = m_workload->requests[request].tokens;
    m_engines[*worker].Start(request, target, tokens, now);
    ++m_served[*worker][target];
    ++m_reports[*worker].known_starts[target];
    SlotState* slot = FindSlot(*worker, target);
    ++slot->running;
    ++m_state.workers[*worker].running;
    slot->last_used = now;
    ScheduleProgress(*worker, now);
  }
}

void CellExecutor::OnDeadline(RequestIndex request, TimeMs now) {
  const RequestRecord record = m_callers.record(request);
  if (record.phase != RequestPhase::kWaiting &&
      record.phase != RequestPhase::kRunning) {
    return;
  }
  m_callers.Expire(request);
  if (record.phase != RequestPhase::kRunning) return;
  m_engines[record.worker].Cancel(request, now);
  OnEngineProgress(record.worker, now);
}

void CellExecutor::OnEngineProgress(std::uint32_t worker, TimeMs now) {
  for (const RequestIndex request : m_engines[worker].TakeFinished(now)) {
    m_callers.Answer(request, now);
  }
  FinishDrains(worker, now);
  std::vector<TargetIndex> waited_for;
  for (const SlotState& slot : m_state.workers[worker].occupied) {
    const TargetIndex target = IndexOf(slot.target);
    if (m_callers.HasWaiters(target)) waited_for.push_back(target);
  }
  for (const TargetIndex target : waited_for) Dispatch(target, now);
  ScheduleProgress(worker, now);
}

void CellExecutor::OnReport(TimeMs now) {
  for (std::uint32_t worker = 0; worker < m_engines.size(); ++worker) {
    RefreshVisible(worker, now);
    ReportView& report = m_reports[worker];
    report.snapshot.clear();
    report.known_starts.clear();
    for (const SlotState& slot : m_state.workers[worker].occupied) {
      const TargetIndex target = IndexOf(slot.target);
      report.snapshot[target] = m_engines[worker].RunningFor(target);
    }
  }
}

void CellExecutor::RefreshVisible(std::uint32_t worker, TimeMs now) {
  ReportView& report = m_reports[worker];
  std::uint32_t total = 0;
  for (SlotState& slot : m_state.workers[worker].occupied) {
    const TargetIndex target = IndexOf(slot.target);
    slot.running = report.snapshot[target] + report.known_starts[target];
    if (slot.running > 0) slot.last_used = now;
    total += slot.running;
  }
  m_state.workers[worker].running = total;
}

void CellExecutor::OnRestart(std::uint32_t worker, TimeMs now) {
  for (const RequestIndex request : m_engines[worker].Restart(now)) {
    m_callers.Enqueue(request, now, true);
  }
  for (auto it = m_loads.begin(); it != m_loads.end();) {
    const bool lost = it->second.worker == worker;
    if (lost) --m_state.store.in_flight;
    it = lost ? m_loads.erase(it) : std::next(it);
  }
  for (auto it = m_recalls.begin(); it != m_recalls.end();) {
    it = it->second.worker == worker ? m_recalls.erase(it) : std::next(it);
  }
  WorkerState& view = m_state.workers[worker];
  while (!view.occupied.empty()) {
    RemoveSlot(worker, IndexOf(view.occupied.back().target));
  }
  view.usable = false;
  view.running = 0;
  m_reports[worker] = ReportView{};
}

void CellExecutor::OnWorkerUp(std::uint32_t worker, TimeMs /*now*/) {
  m_state.workers[worker].usable = true;
}

}  // namespace yuccamoor::placement_benchmark
