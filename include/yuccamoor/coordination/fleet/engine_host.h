/// \file
/// \brief Decides the load and unload orders of one engine, at the one node
/// that holds the right to give them.

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

/// A node's wish to have an adapter on the engine.
struct LoadRequest {
  AdapterRef adapter;
  AdapterRevision version;
  /// 0 is the most urgent.
  int priority = 0;
  NodeId requester;
  /// Requests for it at that node since it was asked for.
  std::uint32_t demand = 1;
  /// The adapter has to be in place by then for the newest of them to be on
  /// time.
  TimeMs on_time_until;
};

/// One order to an engine.
struct EngineOrder {
  bool load = true;
  AdapterRef adapter;
  /// Zero loads the newest version.
  AdapterRevision version;
  /// Orders that the engine must have accepted so far for this one to hold. An
  /// order that arrives late finds another count and is refused.
  std::uint64_t expected_accepted = 0;
  Epoch fence;
};

/// How an order ended.
enum class OrderOutcome : std::uint8_t {
  /// Accepted; it is being carried out.
  kAccepted,
  /// Done, or true before.
  kDone,
  /// Another order is under way, or the count differs.
  kConflict,
  /// The engine is another one or does not know the model.
  kRejected,
  /// No answer: it may be carried out at any later time.
  kUnknown,
};

/// An adapter that has come into place for a requester.
struct LoadNotice {
  AdapterRef adapter;
  NodeId requester;
};

/// Figures of an engine that bound its orders.
struct EngineHostOptions {
  std::uint32_t adapter_slots = 0;
  ModelId model;
  /// Loading time of the model's weights.
  DurationMs model_load_time{2'000};
  /// Adapter loads over all engines that the weight store serves at full speed.
  std::uint32_t full_speed_loads = 8;
};

/// Returns how many adapter loads a weight store serves at full speed that
/// serves this many models a second.
std::uint32_t FullSpeedLoads(double models_per_second);

/// What an engine's holder knows of the fleet.
struct FleetConditions {
  /// Adapters on their way to other engines.
  std::uint32_t loads_elsewhere = 0;
  /// How often nodes tell each other what they use.
  DurationMs status_interval{250};
  /// From telling that an adapter is retired until every node that uses it has
  /// said so. Zero in large fleets, where this is not told.
  DurationMs retire_delay{0};
};

/// What a poll asks its caller to do.
struct EngineHostActions {
  std::optional<EngineOrder> order;
  bool fetch_report = false;
  std::vector<LoadNotice> notices;
  /// Adapters that every node should stop using.
  std::vector<AdapterRef> retired;
};

/// The orders of one engine. Gives one order at a time and counts every place
/// that an adapter may take, also one whose fate is unknown, so that the
/// engine is never ordered to hold more than it can.
class EngineHost {
 public:
  /// Orders may be given from \p orders_allowed_from on.
  EngineHost(EngineHostOptions options, Epoch fence,
             TimeMs orders_allowed_from);

  /// Notes a node's wish; a repeated one refreshes it. Returns how long the
  /// adapter will probably take to come into place.
  DurationMs Request(const LoadRequest& request, TimeMs now);
  /// Notes that requests used the adapter.
  void OnUsed(const AdapterRef& adapter, std::uint32_t requests, TimeMs now);
  /// Notes that the engine answered that it does not hold the adapter.
  void OnMissing(const AdapterRef& adapter, TimeMs now);
  /// Notes that the engine has started anew and holds nothing.
  void OnEngineRestart(TimeMs now);

  /// Takes a report that was asked for by a poll; nothing if there was no
  /// answer.
  void OnReport(const std::optional<EngineReport>& report, TimeMs now);
  /// Takes the end of the order that a poll returned.
  void OnOrderOutcome(OrderOutcome outcome, TimeMs now);

  /// Decides what to do now. Call it after each event and when its time may
  /// have come.
  EngineHostActions Poll(TimeMs now, const FleetConditions& pace);
  /// Whether the adapter can be loaded without waiting for the runs of an
  /// older version.
  bool CanLoadNow(const AdapterRef& adapter, AdapterRevision version,
                  TimeMs now) const;

  /// The adapters in place.
  AdapterSet Resident() const;
  /// Adapters on their way from the weight store.
  std::uint32_t loads_in_flight() const;
  /// Whether adapters can be loaded: the state is known and the model is there.
  bool can_load() const { return m_loadable; }
  std::size_t queued_loads() const { return m_queue.size(); }

 private:
  enum class AdapterSlotState : std::uint8_t {
    kLoading,
    kResident,
    /// Told to be leaving, so that no node sends more requests for it; unloaded
    /// if no node answers that it uses it.
    kRetiring,
    /// The engine unloads it when its runs have ended.
    kUnloading,
    /// An older version is there until its runs have ended; then the newer one
    /// is loaded.
    kReplacing,
  };
  struct AdapterSlot {
    AdapterSlotState state = AdapterSlotState::kLoading;
    AdapterRevision version;
    TimeMs ready_at;
    TimeMs loaded_at;
    TimeMs retired_at;
    TimeMs last_used;
    // Requests, each counting half after a half-life.
    double uses = 0;
    std::uint32_t misses = 0;
  };
  struct Requester {
    std::uint32_t demand = 0;
    TimeMs on_time_until;
    TimeMs refreshed_at;
  };
  // All nodes' wishes for one adapter.
  struct QueuedLoad {
    AdapterRef adapter;
    AdapterRevision version;
    int priority = 0;
    TimeMs requested_at;
    std::map<NodeId, Requester> requesters;
  };

  void FinishLoads(TimeMs now);
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
                       std::map<AdapterRef, AdapterSlot>& places) const;
  void RetireLeastUsed(TimeMs now, std::vector<AdapterRef>& retired);
  std::size_t SlotsToKeepFree() const;
  std::map<AdapterRef, AdapterSlot>::iterator FindVictim(TimeMs now);
  bool IsRequested(const AdapterRef& adapter) const;
  bool IsInUse(const AdapterSlot& place, TimeMs now) const;
  bool WaitsForRuns() const;
  std::optional<EngineOrder> UnloadRetired(TimeMs now) const;
  EngineOrder MakeOrder(bool load, const AdapterRef& adapter) const;
  void Resync(TimeMs at);
  void ApplyLoad(OrderOutcome outcome, TimeMs now);
  void ApplyUnload(OrderOutcome outcome, TimeMs now);
  DurationMs EstimateLoad(const AdapterRef& adapter) const;
  void RecordInHostMemory(const AdapterRef& adapter);
  double DecayedUses(const AdapterSlot& place, TimeMs now) const;

  // A report shows the state of some hundred milliseconds ago.
  static constexpr DurationMs kReportLag{350};
  // While an order waits for runs to end, reports are read this often.
  static constexpr DurationMs kPendingPollInterval{300};

  EngineHostOptions m_options;
  Epoch m_fence;
  TimeMs m_orders_allowed_from;
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
  // Adapters that the engine's host memory probably still has, newest first.
  std::list<AdapterRef> m_in_host_memory;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_ENGINE_HOST_H_
