/// \file
/// \brief Implementation of a run in virtual time.

#include "run.h"

#include <chrono>
#include <cmath>
#include <utility>

#include "cell_executor.h"
#include "event_queue.h"

namespace yuccamoor::placement_benchmark {
namespace {

constexpr DurationMs kReportInterval{200};
constexpr DurationMs kTickInterval{100};
constexpr DurationMs kRestartInterval{30'000};
constexpr DurationMs kRestartTime{5'000};
constexpr DurationMs kTakeoverTime{5'000};
constexpr DurationMs kOutageTime{60'000};
/// Length of the spans before and after half time that are looked at apart.
constexpr DurationMs kAroundHalf{30'000};
/// Time after the last arrival until the last request has ended.
constexpr DurationMs kRunOut{125'000};
constexpr double kMsPerSecond = 1'000;

/// One run's event loop.
class Run {
 public:
  Run(const Scenario& scenario, const Workload& workload,
      const PolicyFactory& make_policy, const StateObserver& observe)
      : m_scenario(scenario),
        m_workload(workload),
        m_make_policy(make_policy),
        m_observe(observe),
        m_policy(make_policy()),
        m_executor(scenario, &workload, &m_events) {}

  Samples Play();

 private:
  void ScheduleAll();
  void ScheduleFaults();
  void Handle(const Event& event);
  void HandleCaller(const Event& event);
  void HandleFault(const Event& event);
  void HandleEngine(const Event& event);
  void Decide(TimeMs now);
  void ScheduleBudget(TimeMs now);
  void CollectRequests();
  void CollectEngines();

  const Scenario& m_scenario;
  const Workload& m_workload;
  const PolicyFactory& m_make_policy;
  const StateObserver& m_observe;
  EventQueue m_events;
  std::unique_ptr<PlacementPolicy> m_policy;
  CellExecutor m_executor;
  bool m_orders_allowed = true;
  TimeMs m_budget_at;
  TimeMs m_end;
  Samples m_samples;
};

Samples Run::Play() {
  ScheduleAll();
  while (!m_events.empty() && m_events.Top().at <= m_end) {
    const TimeMs now = m_events.Top().at;
    while (!m_events.empty() && m_events.Top().at == now) {
      Handle(m_events.Take());
    }
    if (m_orders_allowed) Decide(now);
    if (m_observe) m_observe(m_executor.state(), now);
  }
  CollectRequests();
  CollectEngines();
  m_samples.orders = m_executor.counts();
  return std::move(m_samples);
}

void Run::ScheduleAll() {
  for (RequestIndex i = 0; i < m_workload.requests.size(); ++i) {
    const CallerRequest& request = m_workload.requests[i];
    m_events.Add(request.arrival, EventKind::kArrival, i);
    m_events.Add(request.deadline, EventKind::kDeadline, i);
    m_end = std::max(m_end, request.arrival);
  }
  m_end = m_end + kRunOut;
  m_events.Add(TimeMs(), EventKind::kReport);
  m_events.Add(TimeMs(), EventKind::kTick);
  ScheduleFaults();
}

void Run::ScheduleFaults() {
  const TimeMs half = TimeMs() + m_scenario.duration / 2;
  if (m_scenario.kind == ScenarioKind::kWorkerRestarts) {
    std::uint32_t worker = 0;
    for (TimeMs at = TimeMs() + m_scenario.warm_up;
         at < TimeMs() + m_scenario.duration; at = at + kRestartInterval) {
      m_events.Add(at, EventKind::kRestart, worker);
      m_events.Add(at + kRestartTime, EventKind::kWorkerUp, worker);
      worker = (worker + 1) % m_scenario.deployment.workers;
    }
  }
  if (m_scenario.kind == ScenarioKind::kDomainLoss) {
    for (std::uint32_t worker = 0; worker < m_scenario.deployment.workers;
         worker += kFailureDomains) {
      m_events.Add(half, EventKind::kRestart, worker);
    }
  }
  if (m_scenario.kind == ScenarioKind::kKeyValueOutage) {
    m_events.Add(half, EventKind::kOrdersStop);
    m_events.Add(half + kOutageTime, EventKind::kOrdersResume);
  }
  if (m_scenario.kind == ScenarioKind::kLeaderKill) {
    m_events.Add(half, EventKind::kOrdersStop);
    m_events.Add(half + kTakeoverTime, EventKind::kOrdersResume);
  }
}

void Run::Handle(const Event& event) {
  switch (event.kind) {
    case EventKind::kArrival:
    case EventKind::kDeadline:
      return HandleCaller(event);
    case EventKind::kRestart:
    case EventKind::kWorkerUp:
    case EventKind::kOrdersStop:
    case EventKind::kOrdersResume:
      return HandleFault(event);
    case EventKind::kEngineProgress:
    case EventKind::kRecalled:
    case EventKind::kLoadEnd:
    case EventKind::kReport:
      return HandleEngine(event);
    case EventKind::kTick:
      return m_events.Add(event.at + kTickInterval, EventKind::kTick);
    case EventKind::kBudget:
      return;
  }
}

void Run::HandleCaller(const Event& event) {
  if (event.kind == EventKind::kDeadline) {
    return m_executor.OnDeadline(event.subject, event.at);
  }
  const TargetIndex target = m_workload.requests[event.subject].target;
  // Gateways run warm requests without a word to the leader.
  if (m_executor.StartWarm(event.subject, event.at) == StartResult::kStarted) {
    return;
  }
  m_executor.Wait(event.subject, event.at, false);
  m_policy->OnDemand(m_workload.targets[target], 1, event.at);
}

void Run::HandleFault(const Event& event) {
  switch (event.kind) {
    case EventKind::kRestart:
      return m_executor.OnRestart(event.subject, event.at);
    case EventKind::kWorkerUp:
      return m_executor.OnWorkerUp(event.subject, event.at);
    case EventKind::kOrdersStop:
      m_orders_allowed = false;
      if (m_scenario.kind == ScenarioKind::kLeaderKill) {
        m_policy = m_make_policy();
      }
      return;
    default:
      m_orders_allowed = true;
  }
}

void Run::HandleEngine(const Event& event) {
  switch (event.kind) {
    case EventKind::kEngineProgress:
      return m_executor.OnEngineProgress(event.subject, event.at);
    case EventKind::kRecalled:
      return m_executor.OnRecalled(event.stamp, event.at);
    case EventKind::kLoadEnd:
      return m_executor.OnLoadEnd(event.stamp, event.at);
    default:
      m_executor.OnReport(event.at);
      m_events.Add(event.at + kReportInterval, EventKind::kReport);
  }
}

void Run::Decide(TimeMs now) {
  m_executor.RefillBudget(now);
  const auto begin = std::chrono::steady_clock::now();
  const PlacementDecision decision = m_policy->Decide(m_executor.state(), now);
  const std::chrono::duration<double, std::micro> taken =
      std::chrono::steady_clock::now() - begin;
  m_samples.decisions_us.push_back(taken.count());
  if (!decision.loads.empty()) m_samples.proposals_us.push_back(taken.count());
  m_executor.Apply(decision, now);
  ScheduleBudget(now);
}

void Run::ScheduleBudget(TimeMs now) {
  const StoreBudget& store = m_executor.state().store;
  if (store.tokens >= 1 || m_budget_at > now) return;
  const double wait_ms =
      std::ceil((1 - store.tokens) / store.loads_per_second * kMsPerSecond);
  m_budget_at = now + DurationMs(static_cast<std::int64_t>(wait_ms));
  m_events.Add(m_budget_at, EventKind::kBudget);
}

void Run::CollectRequests() {
  const TimeMs from = m_scenario.kind == ScenarioKind::kPowerCut
                          ? TimeMs()
                          : TimeMs() + m_scenario.warm_up;
  const TimeMs half = TimeMs() + m_scenario.duration / 2;
  for (RequestIndex i = 0; i < m_workload.requests.size(); ++i) {
    const CallerRequest& request = m_workload.requests[i];
    const RequestRecord& record = m_executor.callers().record(i);
    m_samples.served_ms += static_cast<double>(record.served.ms());
    if (request.arrival < from) continue;
    const bool answered = record.phase == RequestPhase::kAnswered;
    m_samples.answered += answered ? 1 : 0;
    m_samples.refused += record.phase == RequestPhase::kRefused ? 1 : 0;
    m_samples.expired += record.phase == RequestPhase::kExpired ? 1 : 0;
    const DurationMs stall =
        answered ? record.waited : request.deadline - request.arrival;
    m_samples.stalls_ms.push_back(static_cast<double>(stall.ms()));
    if (request.arrival < half && half - request.arrival <= kAroundHalf) {
      m_samples.stalls_before_ms.push_back(m_samples.stalls_ms.back());
    }
    if (request.arrival >= half && request.arrival - half < kAroundHalf) {
      m_samples.stalls_after_ms.push_back(m_samples.stalls_ms.back());
    }
  }
}

void Run::CollectEngines() {
  for (const FakeEngine& engine : m_executor.engines()) {
    m_samples.running_ms += engine.request_ms();
    m_samples.capacity_ms += engine.busy_ms() * m_scenario.batch_capacity;
  }
}

}  // namespace

Samples Play(const Scenario& scenario, const Workload& workload,
             const PolicyFactory& make_policy, const StateObserver& observe) {
  return Run(scenario, workload, make_policy, observe).Play();
}

}  // namespace yuccamoor::placement_benchmark
