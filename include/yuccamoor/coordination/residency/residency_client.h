/// \file
/// \brief A gateway's side of the residency leases of one cell: who waits, what
/// is granted, and whether a request may be sent now.

#ifndef YUCCAMOOR_COORDINATION_RESIDENCY_RESIDENCY_CLIENT_H_
#define YUCCAMOOR_COORDINATION_RESIDENCY_RESIDENCY_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"
#include "yuccamoor/state/priority.h"
#include "yuccamoor/state/residency.h"
#include "yuccamoor/state/result.h"

namespace yuccamoor {

/// One request that waits for a grant.
using WaiterId = NumberId<struct WaiterIdTag>;
/// One request that runs, or is about to be sent, under a grant.
using DispatchId = NumberId<struct DispatchIdTag>;

/// What a gateway is told at its start.
struct ResidencyClientOptions {
  CellId cell;
  NodeId gateway;
  Incarnation incarnation;
  /// Covers clock drift; taken off the session's deadline.
  DurationMs margin{100};
  /// The time between syncs while anything is granted or waited for.
  DurationMs renew_interval{1'000};
  /// The time after which an unanswered sync is sent again.
  DurationMs retry_interval{250};
  /// The shortest time between two syncs.
  DurationMs min_interval{10};
  std::size_t max_waiters = 20'000;
};

/// The one engine life that a request may go to: the one that holds its stream.
struct EnginePin {
  WorkerId worker;
  InstanceId instance;
};

/// Where one request goes.
struct Placement {
  DispatchId dispatch;
  LeaseNumber lease;
  WorkerId worker;
  /// "ip:port".
  std::string address;
  InstanceId instance;
  /// The session's deadline as known now. MaySend knows later ones.
  TimeMs send_before;
};

/// What is due after a tick.
struct ResidencyTick {
  std::optional<ResidencySync> sync;
  /// Targets with waiters for which TryAcquire can succeed now.
  std::vector<AdapterVersion> ready;
  /// Targets whose waiters must be failed now as not run.
  std::vector<ResidencyRefusal> refusals;
};

/// One gateway's session with one cell's leader. Not thread-safe.
///
/// A request is sent in four steps: TryAcquire; MaySend right before the
/// write; ConfirmAccepted when the engine's first answer to it has come;
/// Release when it has ended. A stream that is not confirmed must be cancelled
/// and may be sent again: the leader could not know of it, so that its adapter
/// may be evicted.
class ResidencyClient {
 public:
  static Result<ResidencyClient> Create(ResidencyClientOptions options);

  /// Notes a request that waits. Returns nothing if too many wait already.
  std::optional<WaiterId> AddWaiter(const AdapterVersion& target,
                                    Priority priority, TimeMs deadline,
                                    TimeMs now);
  /// Notes that a request no longer waits. Unknown ids are ignored.
  void RemoveWaiter(WaiterId waiter);

  /// Counts a request as running under the grant with the fewest, if one has
  /// credit. Requests with the same \p prefix_key other than zero prefer the
  /// same worker while it is not much busier than the others.
  std::optional<Placement> TryAcquire(const AdapterVersion& target, TimeMs now,
                                      std::uint64_t prefix_key = 0);

  /// The same for a request that goes on with a stream, which is on one engine
  /// only.
  std::optional<Placement> TryAcquireOn(const AdapterVersion& target,
                                        const EnginePin& pin, TimeMs now);
  /// Whether a grant shows that the worker has another engine life by now, so
  /// that its earlier streams are gone.
  bool HasRestarted(const AdapterVersion& target, const EnginePin& pin) const;

  /// Whether the request may be written now. If not, release it and try again.
  bool MaySend(DispatchId dispatch, TimeMs now);

  /// Whether the stream that the engine has accepted may be used. If not,
  /// cancel it, release it and try again.
  bool ConfirmAccepted(DispatchId dispatch, TimeMs now);

  /// Notes that the request has ended or was not sent.
  void Release(DispatchId dispatch);

  /// Notes that the engine has said that it does not hold the target: the
  /// request's grant is given back.
  void OnNotResident(DispatchId dispatch);
  /// Notes that the worker is gone: its grants are given back.
  void OnWorkerLost(const WorkerId& worker);

  /// Notes the leader's epoch. A newer one starts a session anew, with a full
  /// sync; running requests go on.
  void OnLeader(Epoch epoch);

  /// Takes an update. Duplicates and late ones do no harm.
  void OnUpdate(const ResidencyUpdate& update, TimeMs now);

  /// Returns what is due. Call it every few milliseconds and after a change.
  ResidencyTick Tick(TimeMs now);

  /// The time before which requests must be sent.
  TimeMs SessionDeadline() const { return m_deadline; }
  Epoch epoch() const { return m_epoch; }
  std::size_t GrantCount() const { return m_grants.size(); }
  std::size_t WaiterCount() const { return m_waiters.size(); }
  /// Requests that run or are about to be sent.
  std::size_t DispatchCount() const { return m_dispatches.size(); }

 private:
  struct Waiter {
    AdapterVersion target;
    Priority priority = Priority::kNormal;
    TimeMs since;
    TimeMs deadline;
  };
  struct Grant {
    ResidencyGrant grant;
    std::uint32_t running = 0;
    std::uint32_t confirmed = 0;
    /// No new sends; given back once nothing runs.
    bool recalled = false;
    /// The session lapsed. No new sends until the leader grants it anew.
    bool lapsed = false;

    bool Usable() const { return !recalled && !lapsed; }
    bool Open() const { return Usable() && running < grant.credit; }
  };
  struct Dispatch {
    LeaseNumber lease;
    bool confirmed = false;
    /// The session lapsed or the grant went before the stream was confirmed.
    bool revoked = false;
  };
  using LeaseSet = std::set<LeaseNumber>;

  explicit ResidencyClient(ResidencyClientOptions options);

  bool HasCredit(const AdapterVersion& target, TimeMs now) const;
  Grant* PickGrant(const AdapterVersion& target, std::uint64_t prefix_key);
  Placement Dispatched(Grant& grant);
  void CheckLapse(TimeMs now);
  void GiveBack(LeaseNumber lease);
  void DropGrant(LeaseNumber lease);
  void RevokeUnconfirmed(LeaseNumber lease);
  void Acknowledge(const ResidencyUpdate& update, TimeMs now);
  void TakeGrant(const ResidencyGrant& grant);
  void TakeRecall(LeaseNumber lease);
  bool SyncDue(TimeMs now) const;
  ResidencySync BuildSync(TimeMs now);
  std::vector<ResidencyWant> CollectWants(TimeMs now) const;
  void AppendHoldings(ResidencySync& sync) const;

  ResidencyClientOptions m_options;
  Epoch m_epoch;
  TimeMs m_deadline;
  bool m_lapsed = true;

  WaiterId m_last_waiter;
  std::map<WaiterId, Waiter> m_waiters;
  std::unordered_map<AdapterVersion, std::uint32_t> m_waiting;

  std::map<LeaseNumber, Grant> m_grants;
  std::unordered_map<AdapterVersion, LeaseSet> m_by_target;
  DispatchId m_last_dispatch;
  std::unordered_map<DispatchId, Dispatch> m_dispatches;

  /// Grants given back, with the first sync that says so (zero: not sent).
  std::map<LeaseNumber, Sequence> m_returns;
  std::vector<ResidencyRefusal> m_refusals;

  bool m_full = true;
  bool m_changed = false;
  bool m_ever_synced = false;
  Sequence m_last_sequence;
  Sequence m_acknowledged;
  /// Grants in updates that acknowledge less than this may have been given
  /// back since.
  Sequence m_grant_barrier;
  TimeMs m_last_sync;
  std::map<Sequence, TimeMs> m_sent;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_RESIDENCY_RESIDENCY_CLIENT_H_
