/// \file
/// \brief The leader of one cell: grants residency leases, orders loads and
/// evictions, and keeps the weight store's limits.
///
/// A placement policy proposes; this class decides what is safe. A slot is
/// evicted only once no grant of it is outstanding and nothing runs in it. All
/// loads under way, also those of an earlier leader, count against the store.

#ifndef YUCCAMOOR_COORDINATION_CELL_CELL_LEADER_H_
#define YUCCAMOOR_COORDINATION_CELL_CELL_LEADER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "yuccamoor/coordination/backoff.h"
#include "yuccamoor/coordination/cell/session_table.h"
#include "yuccamoor/coordination/leadership/eviction_clearance.h"
#include "yuccamoor/coordination/placement_policy.h"
#include "yuccamoor/state/cell_state.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/config_snapshot.h"
#include "yuccamoor/state/engine.h"
#include "yuccamoor/state/ids.h"
#include "yuccamoor/state/residency.h"
#include "yuccamoor/state/result.h"

namespace yuccamoor {

/// How a leader keeps time and bounds. The same in every process.
struct CellLeaderOptions {
  DurationMs session_ttl{3'000};
  /// Covers clock drift between VMs.
  DurationMs margin{100};
  /// How long past its authority a leader renews sessions, so that warm
  /// requests go on. A new leader waits for as long.
  DurationMs renew_grace{1'000};
  /// The longest time that an order can be under way to an engine.
  DurationMs order_timeout{1'000};
  /// The longest time that a load can take once the engine has its order.
  DurationMs load_timeout{10'000};
  /// The time after which a silent worker gets nothing new.
  DurationMs worker_silence{5'000};
  /// Wait after failed loads of one target.
  BackoffLimits load_backoff{DurationMs(500), DurationMs(30'000)};
  /// The most requests that one gateway may run under one grant at once; zero:
  /// the worker's batch capacity.
  std::uint32_t credit = 0;
};

/// Asks for an update to be sent to a gateway. Loss does no harm.
struct SendUpdate {
  ResidencyUpdate update;
};

/// Asks for an order to be sent to an engine if it leaves before the deadline.
/// The result, also of an order not sent, goes to OnOrderResult.
struct SendOrder {
  /// "ip:port".
  std::string address;
  EngineOrder order;
  TimeMs send_before;
  DurationMs timeout;
};

using CellAction = std::variant<SendUpdate, SendOrder>;
using CellActions = std::vector<CellAction>;

/// Leads one cell for one epoch. Not thread-safe.
class CellLeader {
 public:
  /// \p may_order_from is when no order of an earlier leader can be under way
  /// any more. Reports configurations that cannot be led.
  static Result<CellLeader> Create(const CellConfig& config, Epoch epoch,
                                   TimeMs may_order_from,
                                   std::unique_ptr<PlacementPolicy> policy,
                                   CellLeaderOptions options, TimeMs now);

  /// Handles a sync. The first action, if there is one, is the answer to it.
  CellActions OnSync(const ResidencySync& sync, TimeMs now);

  void OnReport(const EngineReport& report, TimeMs now);

  void OnOrderResult(const OrderResult& result, TimeMs now);

  /// Notes that a gateway's VM is gone: nothing is sent or served by it.
  void OnGatewayGone(const NodeId& gateway, TimeMs now);

  /// Takes a newer configuration of the cell. A worker that is gone from it
  /// gets nothing new.
  void OnConfig(const CellConfig& config);

  /// Names every gateway that may live, from a read that began after this
  /// leader's start. Nothing is evicted until each of them has sent a full
  /// sync, or every session of an earlier leader has expired. An empty list
  /// says nothing.
  void OnGateways(std::vector<NodeId> gateways);

  /// Takes what the election lets this leader evict and grant. Without effect
  /// on engines that check fencing numbers.
  void OnClearance(EvictionClearance clearance, TimeMs now);

  /// The evictions to announce: those wanted, and those ordered without a
  /// result. None on engines that check fencing numbers.
  std::set<SlotKey> EvictionsToAnnounce() const;

  /// Does what is due. \p order_deadline is the election's: no order is sent
  /// past it. Call it every few milliseconds and after each input.
  CellActions Tick(TimeMs now, TimeMs order_deadline);

  const CellState& state() const { return m_state; }
  Epoch epoch() const { return m_epoch; }
  /// Whether something waits for the worker's next report, so that it should be
  /// read soon.
  bool NeedsReport(const WorkerId& worker) const;
  /// Whether an engine has refused an order as one of an old epoch.
  bool Superseded() const { return m_superseded; }

 private:
  /// An order without a settled result.
  struct OpenOrder {
    OrderNumber number;
    TimeMs sent;
    bool unknown = false;
    /// When it has ended for certain, if its result is unknown.
    TimeMs latest_end;
  };
  /// What the safety rules need to know of a slot.
  struct SlotGuard {
    std::optional<OpenOrder> order;
    /// A load that waits for its slot or for the store's budget.
    bool planned = false;
    /// Since when no grant is outstanding.
    TimeMs idle_from;
    /// Grants ended without the gateway's word: only a report that was true
    /// after idle_from shows that nothing runs.
    bool needs_report = false;
    std::uint32_t reported_running = 0;
    TimeMs reported_at;
  };
  struct WorkerGuard {
    std::size_t index = 0;
    std::deque<InstanceId> past_instances;
    Sequence last_report;
    TimeMs last_heard;
    bool leaving = false;
    /// No longer in the configuration.
    bool removed = false;
    /// When the newest report was true, at the least.
    TimeMs truth;
    /// Only what was true after this excludes orders of earlier leaders.
    TimeMs trusted_from;
    bool fenced = false;
    std::optional<OpenOrder> fence;
    /// When no order that was under way as the engine restarted can reach its
    /// new instance any more, and how many of them were loads.
    TimeMs clear_from;
    std::uint32_t stray_loads = 0;

    bool Trusted() const { return truth > trusted_from && truth > clear_from; }
  };
  /// Whether a worker can take a planned load.
  enum class Room : std::uint8_t {
    kFree,
    /// Once an eviction is done.
    kClearing,
    kFull,
  };
  struct LoadFailures {
    std::uint32_t count = 0;
    TimeMs retry_at;
  };

  CellLeader(const CellConfig& config, Epoch epoch, TimeMs may_order_from,
             std::unique_ptr<PlacementPolicy> policy, CellLeaderOptions options,
             TimeMs now);

  // Sessions and grants.
  bool MayAnswer(const ResidencySync& sync, TimeMs now) const;
  void Adopt(const NodeId& gateway, const ResidencyHolding& holding);
  void NoteEnded(const EndedGrants& ended, TimeMs now);
  void NoteReturned(const std::vector<SlotKey>& slots, TimeMs now);
  void NoteDemand(const std::vector<ResidencyWant>& before,
                  const std::vector<ResidencyWant>& after, TimeMs now);
  void GrantWants(const NodeId& gateway, Session& session);
  void GrantAllWants();
  bool Grantable(const SlotKey& key) const;
  std::uint32_t CreditOn(const WorkerId& id) const;
  ResidencyUpdate BuildUpdate(const NodeId& gateway, Session& session);
  void CollectWaiting();
  void Refuse(const RefuseDecision& refusal);

  // Reports and results.
  bool TakeInstance(const EngineReport& report, WorkerGuard& guard, TimeMs now);
  void ClearWorker(const WorkerState& worker, WorkerGuard& guard, TimeMs now);
  void TakeResident(const SlotKey& key, std::uint32_t running, TimeMs truth,
                    TimeMs now);
  void TakeAbsent(const SlotKey& key, TimeMs truth, TimeMs now);
  void TakeAllAbsent(const EngineReport& report, TimeMs truth, TimeMs now);
  void OnFenceResult(const OrderResult& result, WorkerGuard& worker,
                     TimeMs now);
  void OnLoadResult(const SlotKey& key, const OrderResult& result, TimeMs now);
  void OnEvictResult(const SlotKey& key, const OrderResult& result);
  void NoteFailedLoad(const AdapterVersion& target, TimeMs now);

  // Orders.
  void UpdateWorkers(TimeMs now);
  void UpdateBudget(TimeMs now);
  void LiftEvictionFence(TimeMs now);
  bool InheritedLoadsKnown(TimeMs now) const;
  bool MayOrderTo(const WorkerId& worker, TimeMs now) const;
  bool IsIdle(const SlotKey& key) const;
  bool MayEvict(const SlotKey& key) const;
  bool IsBarred(const SlotKey& key) const;
  void DrainBarred(TimeMs now);
  std::optional<LoadDecision> PlaceElsewhere(
      const AdapterVersion& target) const;
  void Decide(TimeMs now);
  void Propose(const LoadDecision& decision, TimeMs now);
  void EvictDrained(TimeMs now, CellActions& actions);
  Room RoomOn(const WorkerState& worker) const;
  std::vector<SlotKey> PlannedLoads() const;
  void StartPlannedLoads(TimeMs now, CellActions& actions);
  void FenceWorkers(TimeMs now, CellActions& actions);
  SendOrder MakeOrder(OrderKind kind, const SlotKey& key, TimeMs now,
                      std::optional<OpenOrder>& open);

  void AddWorker(const WorkerConfig& config);
  WorkerState* FindWorker(const WorkerId& id);
  const WorkerState* FindWorker(const WorkerId& id) const;
  SlotState* FindSlot(const SlotKey& key);
  const SlotState* FindSlot(const SlotKey& key) const;
  SlotGuard& AddSlot(const SlotKey& key, SlotPhase phase, TimeMs now);
  void RemoveSlot(const SlotKey& key);
  void SetPhase(const SlotKey& key, SlotPhase phase, TimeMs now);

  CellLeaderOptions m_options;
  Epoch m_epoch;
  TimeMs m_started;
  TimeMs m_may_order_from;
  TimeMs m_order_deadline;
  bool m_fencing = false;
  EvictionClearance m_clearance;
  /// Evictions whose orders have no result.
  std::map<OrderNumber, SlotKey> m_open_evictions;
  bool m_superseded = false;
  std::unique_ptr<PlacementPolicy> m_policy;
  CellState m_state;
  std::map<WorkerId, WorkerGuard> m_workers;
  std::map<SlotKey, SlotGuard> m_slots;
  /// The slots that are not ready, so that a tick costs what is under way.
  std::set<SlotKey> m_changing;
  std::unordered_map<AdapterVersion, std::set<WorkerId>> m_locations;
  SessionTable m_sessions;
  bool m_waiting_changed = false;
  bool m_grants_changed = false;
  std::uint64_t m_lease_counter = 0;
  OrderNumber m_last_order;
  std::unordered_map<AdapterVersion, LoadFailures> m_failures;
  std::map<NodeId, std::vector<ResidencyRefusal>> m_refusals;

  /// Until lifted, nothing is evicted: a gateway may hold grants of an earlier
  /// leader that this one does not know.
  bool m_evictions_fenced = true;
  std::optional<std::set<NodeId>> m_gateways;
  std::set<NodeId> m_synced;

  double m_tokens = 0;
  std::optional<TimeMs> m_tokens_at;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_CELL_CELL_LEADER_H_
