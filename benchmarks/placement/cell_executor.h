/// \file
/// \brief Carries decisions out safely on fake engines and a fake store, in
/// virtual time: what a cell's leader and the gateways do together.

#ifndef YUCCAMOOR_BENCHMARKS_PLACEMENT_CELL_EXECUTOR_H_
#define YUCCAMOOR_BENCHMARKS_PLACEMENT_CELL_EXECUTOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <unordered_map>
#include <vector>

#include "caller_book.h"
#include "event_queue.h"
#include "fake_engine.h"
#include "scenario.h"
#include "workload.h"
#include "yuccamoor/coordination/placement_policy.h"
#include "yuccamoor/state/cell_state.h"

namespace yuccamoor::placement_benchmark {

/// Counts of what was ordered.
struct OrderCounts {
  std::uint64_t loads = 0;
  std::uint64_t evictions = 0;
  /// Loads that failed, or whose adapter left its slot before serving anyone.
  std::uint64_t wasted_loads = 0;
  /// Proposals that broke a rule and were not carried out.
  std::uint64_t rejected = 0;
};

/// Whether a request could be started, and how.
enum class StartResult : std::uint8_t { kStarted, kMustWait };

/// The engines, the store and the leader's view of them.
class CellExecutor {
 public:
  /// Time of one load.
  static constexpr DurationMs kLoadTime{250};

  CellExecutor(const Scenario& scenario, const Workload* workload,
               EventQueue* events);

  const CellState& state() const { return m_state; }
  const OrderCounts& counts() const { return m_counts; }
  CallerBook& callers() { return m_callers; }
  std::vector<FakeEngine>& engines() { return m_engines; }

  /// Starts the request without asking if its target is resident and has room.
  StartResult StartWarm(RequestIndex request, TimeMs now);
  /// Lets a request wait, in front of the others if \p first.
  void Wait(RequestIndex request, TimeMs now, bool first);
  void OnDeadline(RequestIndex request, TimeMs now);
  void OnEngineProgress(std::uint32_t worker, TimeMs now);
  void OnRecalled(std::uint64_t stamp, TimeMs now);
  void OnLoadEnd(std::uint64_t stamp, TimeMs now);
  /// Delivers the reports taken at the previous call and takes new ones.
  void OnReport(TimeMs now);
  void OnRestart(std::uint32_t worker, TimeMs now);
  void OnWorkerUp(std::uint32_t worker, TimeMs now);

  /// Fills the store's budget up to \p now.
  void RefillBudget(TimeMs now);
  /// Carries out what the rules allow of the decision.
  void Apply(const PlacementDecision& decision, TimeMs now);

 private:
  /// A load in flight or a recall under way.
  struct Operation {
    std::uint32_t worker = 0;
    TargetIndex target = 0;
  };
  using RunningByTarget = std::unordered_map<TargetIndex, std::uint32_t>;
  /// What the leader has of one worker's report, and its own counts since.
  struct ReportView {
    RunningByTarget snapshot;
    RunningByTarget known_starts;
  };

  TargetIndex IndexOf(const AdapterVersion& target) const;
  SlotState* FindSlot(std::uint32_t worker, TargetIndex target);
  std::optional<std::uint32_t> FindWorker(const WorkerId& id) const;
  /// Returns the least loaded worker that can start the target.
  std::optional<std::uint32_t> ReadyWorker(TargetIndex target);
  void ScheduleProgress(std::uint32_t worker, TimeMs now);
  void Dispatch(TargetIndex target, TimeMs now);
  void ApplyLoad(const LoadDecision& load, TimeMs now);
  bool StartDrain(std::uint32_t worker, const LoadDecision& load, TimeMs now);
  void FinishDrains(std::uint32_t worker, TimeMs now);
  void RemoveSlot(std::uint32_t worker, TargetIndex target);
  bool StartLoad(std::uint32_t worker, TargetIndex target, TimeMs now);
  void RefreshVisible(std::uint32_t worker, TimeMs now);

  Scenario m_scenario;
  const Workload* m_workload;
  EventQueue* m_events;
  CellState m_state;
  CallerBook m_callers;
  std::vector<FakeEngine> m_engines;
  std::vector<ReportView> m_reports;
  /// Requests served since the load, by worker and target.
  std::map<std::uint32_t, RunningByTarget> m_served;
  std::map<std::uint64_t, Operation> m_loads;
  std::map<std::uint64_t, Operation> m_recalls;
  std::uint64_t m_next_stamp = 1;
  TimeMs m_refilled_at;
  OrderCounts m_counts;
  pcg64 m_random;
};

}  // namespace yuccamoor::placement_benchmark

#endif  // YUCCAMOOR_BENCHMARKS_PLACEMENT_CELL_EXECUTOR_H_
