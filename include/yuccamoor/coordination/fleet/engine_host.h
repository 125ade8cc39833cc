/// \file
/// \brief Decides the adapter load and unload orders of one engine. Runs on the
/// only node that is allowed to send orders to that engine.

#ifndef YUCCAMOOR_COORDINATION_FLEET_ENGINE_HOST_H_
#define YUCCAMOOR_COORDINATION_FLEET_ENGINE_HOST_H_

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <vector>

#include "yuccamoor/coordination/fleet/load_ranking.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/fleet/endpoint_entry.h"

namespace yuccamoor::fleet {

/// A node's request to have an adapter loaded on the engine.
struct LoadRequest {
  AdapterRef adapter;
  AdapterRevision version;
  /// 0 is the highest priority.
  int priority = 0;
  NodeId requester;
  /// Requests for the adapter at the requester since it asked for the load.
  std::uint32_t demand = 1;
  /// The latest time at which the adapter can become loaded so that the newest
  /// of these requests still meets its deadline.
  TimeMs ready_deadline;
};

/// An order to an engine: load or unload an adapter, or load a model.
struct EngineOrder {
  /// Load if true, unload if false.
  bool load = true;
  /// An empty adapter name stands for the model's weights.
  AdapterRef adapter;
  /// Version to load; zero means the newest.
  AdapterRevision version;
  /// The number of orders that the engine must have accepted before this one.
  /// The engine refuses the order if its count differs, which rejects orders
  /// that arrive late.
  std::uint64_t expected_accepted = 0;
  Epoch fence;
};

/// The outcome of an order.
enum class OrderOutcome : std::uint8_t {
  /// Accepted; execution is in progress.
  kAccepted,
  /// Completed, or the engine was already in the requested state.
  kDone,
  /// Another order is in progress, or the count of accepted orders differs.
  kConflict,
  /// Refused or never sent, for instance because the address belongs to a
  /// different engine or the engine does not know the model.
  kRejected,
  /// No answer: the order may still take effect at any later time.
  kUnknown,
};

/// Notifies a requester that its adapter is loaded.
struct LoadNotice {
  AdapterRef adapter;
  NodeId requester;
};

/// Capacity and timing of an engine, which limit its orders.
struct EngineHostOptions {
  std::uint32_t adapter_slots = 0;
  ModelId model;
  /// Time to load the model's weights.
  DurationMs model_load_time{2'000};
  /// Concurrent adapter loads, over all engines, that the weight store serves
  /// at full speed.
  std::uint32_t full_speed_loads = 8;
};

/// Returns how many concurrent adapter loads a weight store serves at full
/// speed if it serves \p models_per_second models per second.
std::uint32_t FullSpeedLoads(double models_per_second);

/// The state of the fleet that an engine's orders depend on.
struct FleetConditions {
  /// Adapter loads in flight to other engines.
  std::uint32_t loads_elsewhere = 0;
  /// What these seldom exceed; the same where each node tells its loads.
  std::uint32_t max_loads_elsewhere = 0;
  /// Interval at which nodes report to each other which adapters they use.
  DurationMs status_interval{250};
  /// Time from the announcement that an adapter is retired until every node
  /// that uses the adapter has reported so. Zero in large fleets, where
  /// retirement is not announced.
  DurationMs retire_delay{0};
};

/// The actions that EngineHost::Poll asks its caller to perform.
struct EngineHostActions {
  /// The order to send; its outcome goes to OnOrderOutcome.
  std::optional<EngineOrder> order;
  /// Fetch the engine's report and pass it to OnReport.
  bool fetch_report = false;
  std::vector<LoadNotice> notices;
  /// Newly retired adapters, which every node should stop using.
  std::vector<AdapterRef> retired;
};

/// Plans the orders of one engine. Has at most one order in flight and never
/// orders the engine to hold more adapters than it has slots, even when the
/// outcome of an order is unknown. Such an order cannot take effect after a
/// later one was accepted, because it names the expected count of accepted
/// orders. An adapter counts as loaded once the engine has said so: when a load
/// should be complete, its order is repeated until the engine answers that it
/// already holds the adapter.
class EngineHost {
 public:
  /// Neither orders nor report fetches are issued before
  /// \p orders_allowed_from.
  EngineHost(EngineHostOptions options, Epoch fence,
             TimeMs orders_allowed_from);

  /// Queues a node's load request, or refreshes it if it is queued already. A
  /// request that is not refreshed expires. Returns the estimated time until
  /// the adapter is loaded.
  DurationMs Request(const LoadRequest& request, TimeMs now);
  /// Records that \p requests requests used the adapter; 0 means that it is
  /// still in use. Cancels the adapter's retirement.
  void OnUsed(const AdapterRef& adapter, std::uint32_t requests, TimeMs now);
  /// Records that the engine answered that it does not hold the adapter.
  void OnMissing(const AdapterRef& adapter, TimeMs now);
  /// Records that the engine has restarted and holds nothing.
  void OnEngineRestart(TimeMs now);

  /// Handles the report that Poll asked for. Pass std::nullopt if the engine
  /// did not answer; the report is then fetched again later.
  void OnReport(const std::optional<EngineReport>& report, TimeMs now);
  /// Handles the outcome of the order that Poll returned.
  void OnOrderOutcome(OrderOutcome outcome, TimeMs now);

  /// Returns the actions that are due at \p now. Call it after each event and
  /// periodically, since some actions become due with time.
  EngineHostActions Poll(TimeMs now, const FleetConditions& conditions);
  /// Returns whether this version can be loaded without waiting for the runs of
  /// an older version to end.
  bool CanLoadNow(const AdapterRef& adapter, AdapterRevision version,
                  TimeMs now) const;

  /// The loaded adapters, without those that are retired or being replaced.
  AdapterSet Resident() const;
  /// The loaded version of one adapter, as Resident.
  std::optional<AdapterRevision> ResidentVersion(
      const AdapterRef& adapter) const;
  /// Whether the adapter is probably in the engine's host memory.
  bool HeldLately(const AdapterRef& adapter) const { return !IsCold(adapter); }
  /// The number of adapter loads in flight.
  std::uint32_t loads_in_flight() const;
  /// Whether adapters can be loaded: the engine's state was read and the model
  /// is loaded.
  bool can_load() const { return m_loadable; }
  std::size_t queued_loads() const { return m_queue.size(); }

 private:
  enum class AdapterSlotState : std::uint8_t {
    kLoading,
    kResident,
    /// Announced as retired so that no node sends more requests for it.
    /// Unloaded unless a node reports that it uses the adapter.
    kRetiring,
    /// The engine unloads the adapter when its runs have ended.
    kUnloading,
    /// The engine keeps an older version until its runs have ended and then
    /// loads the newer one.
    kReplacing,
  };
  struct AdapterSlot {
    AdapterSlotState state = AdapterSlotState::kLoading;
    AdapterRevision version;
    TimeMs ordered_at;
    // When the load is expected to be complete, or is checked again.
    TimeMs ready_at;
    TimeMs loaded_at;
    TimeMs retired_at;
    TimeMs last_used;
    // Number of requests, decayed exponentially: each counts half after one
    // half-life.
    double uses = 0;
    // Times that the engine answered that it does not hold the adapter.
    std::uint32_t misses = 0;
  };
  struct Requester {
    std::uint32_t demand = 0;
    TimeMs ready_deadline;
    TimeMs refreshed_at;
  };
  // The load requests of all nodes for one adapter.
  struct QueuedLoad {
    AdapterRef adapter;
    AdapterRevision version;
    int priority = 0;
    TimeMs requested_at;
    std::map<NodeId, Requester> requesters;
  };

  std::optional<EngineOrder> NextConfirmation(TimeMs now) const;
  void ApplyConfirmation(const AdapterRef& adapter, OrderOutcome outcome,
                         TimeMs now);
  void CollectNotices(std::vector<LoadNotice>& notices);
  bool IsLoaded(const QueuedLoad& queued) const;
  std::optional<EngineOrder> NextOrder(TimeMs now);
  std::optional<EngineOrder> OrderFor(const QueuedLoad& queued, TimeMs now);
  std::vector<const QueuedLoad*> RankedQueue(TimeMs now) const;
  static LoadDemand DemandOf(const QueuedLoad& queued);
  DurationMs EstimateWait(const QueuedLoad& queued, TimeMs now) const;
  bool IsCold(const AdapterRef& adapter) const;
  bool MayStartLoad(bool cold) const;
  void ApplyCompletions(const EngineReport& report, TimeMs now);
  void ApplyReplacements(const EngineReport& report, TimeMs now);
  void PreservePending(const EngineReport& report,
                       std::map<AdapterRef, AdapterSlot>& slots) const;
  void RetireLeastUsed(TimeMs now, std::vector<AdapterRef>& retired);
  std::size_t SlotsToKeepFree() const;
  std::map<AdapterRef, AdapterSlot>::iterator FindVictim(TimeMs now);
  bool IsRequested(const AdapterRef& adapter) const;
  bool IsInUse(const AdapterSlot& slot, TimeMs now) const;
  bool WaitsForRuns() const;
  std::optional<EngineOrder> UnloadRetired(TimeMs now) const;
  EngineOrder MakeOrder(bool load, const AdapterRef& adapter) const;
  void Resync(TimeMs at);
  void ApplyLoad(OrderOutcome outcome, TimeMs now);
  void ApplyUnload(OrderOutcome outcome, TimeMs now);
  DurationMs EstimateLoad(const AdapterRef& adapter) const;
  void RecordInHostMemory(const AdapterRef& adapter);
  double DecayedUses(const AdapterSlot& slot, TimeMs now) const;

  // Reports show the engine's state of some hundred milliseconds ago.
  static constexpr DurationMs kReportLag{350};
  // Interval of reports while an unload or a replacement waits for runs to end.
  static constexpr DurationMs kPendingPollInterval{300};

  EngineHostOptions m_options;
  Epoch m_fence;
  TimeMs m_orders_allowed_from;
  // Whether the engine's state was read since the last reason to doubt it.
  bool m_synced = false;
  bool m_loadable = false;
  bool m_report_in_flight = false;
  TimeMs m_next_report_at;
  bool m_has_model = false;
  std::uint64_t m_accepted_orders = 0;
  std::optional<TimeMs> m_last_accepted;
  FleetConditions m_conditions;
  std::map<AdapterRef, AdapterSlot> m_slots;
  std::list<QueuedLoad> m_queue;
  std::optional<EngineOrder> m_order_in_flight;
  // Whether that order repeats a load to learn whether it is complete.
  bool m_order_confirms = false;
  // Adapters that are probably still in the engine's host memory, most recently
  // loaded first.
  std::list<AdapterRef> m_in_host_memory;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_ENGINE_HOST_H_
