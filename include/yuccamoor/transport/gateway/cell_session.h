/// \file
/// \brief A gateway's session with the leader of one cell: carries syncs and
/// updates, and wakes the requests that wait for a grant.

#ifndef YUCCAMOOR_TRANSPORT_GATEWAY_CELL_SESSION_H_
#define YUCCAMOOR_TRANSPORT_GATEWAY_CELL_SESSION_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

#include "yuccamoor/coordination/residency/residency_client.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"
#include "yuccamoor/state/priority.h"
#include "yuccamoor/state/residency.h"
#include "yuccamoor/transport/asio.h"

namespace yuccamoor {

class AsyncEvent;
class KeyValueService;
class PeerChannel;
class WorkerPool;

/// What a session uses. All of it must outlive the session.
struct CellSessionServices {
  WorkerPool& pool;
  PeerChannel& peers;
  KeyValueService& key_value;
  const Clock& clock;
};

/// What a request needs of a grant.
struct AcquireRequest {
  AdapterVersion target;
  Priority priority = Priority::kNormal;
  TimeMs deadline;
  /// Requests with the same key prefer the same worker.
  std::uint64_t prefix_key = 0;
  /// The only engine life that will do, if the request goes on with a stream.
  std::optional<EnginePin> pin;
  /// Asked from time to time; true gives up as at the deadline.
  std::function<bool()> caller_gone;
};

/// How a wait for a grant ended: a placement, a refusal, a lost engine, or none
/// of them when the deadline passed.
struct AcquireResult {
  std::optional<Placement> placement;
  std::optional<ResidencyRefusal> refusal;
  /// The pinned engine has restarted.
  bool engine_lost = false;
};

/// One session. Safe to use from several threads; its mutex is a leaf of the
/// lock order, and no call leaves the process while it is held.
class CellSession : public std::enable_shared_from_this<CellSession> {
 public:
  /// \p reply_to is where the leader sends updates unasked, as "ip:port".
  static Result<std::shared_ptr<CellSession>> Create(
      CellSessionServices services, ResidencyClientOptions options,
      std::string reply_to);

  /// Waits until the request may be sent to some worker.
  Awaitable<AcquireResult> Acquire(AcquireRequest request);

  /// See ResidencyClient for these.
  bool MaySend(DispatchId dispatch);
  bool ConfirmAccepted(DispatchId dispatch);
  void Release(DispatchId dispatch);
  void OnNotResident(DispatchId dispatch);
  void OnWorkerLost(const WorkerId& worker);

  /// Takes an update that the leader sent unasked.
  void OnUpdate(const ResidencyUpdate& update);

  /// Does what is due. Called every few milliseconds.
  void Tick();

  std::size_t WaiterCount() const;
  std::size_t GrantCount() const;

 private:
  /// A request that waits in Acquire.
  struct Caller {
    AcquireRequest request;
    std::shared_ptr<AsyncEvent> event;
    std::optional<ResidencyRefusal> refusal;
  };
  using CallerList = std::list<std::shared_ptr<Caller>>;

  CellSession(CellSessionServices services, ResidencyClient client, CellId cell,
              std::string reply_to);

  Awaitable<AcquireResult> Wait(std::shared_ptr<Caller> caller);
  /// Tries once. The mutex is held.
  AcquireResult TryNow(const AcquireRequest& request);
  void RemoveCaller(const Caller& caller);
  void Wake(const ResidencyTick& tick);
  void ScheduleTick();
  void SendSync(const std::string& leader, ResidencySync sync);
  void OnSyncReply(const std::optional<std::string>& reply);
  void FindLeader();

  CellSessionServices m_services;
  const CellId m_cell;
  const std::string m_reply_to;

  mutable std::mutex m_mutex;
  ResidencyClient m_client;
  std::unordered_map<AdapterVersion, CallerList> m_callers;
  /// Empty while the leader is not known.
  std::string m_leader;
  /// The leader's record is to be read: none is known, or it did not answer.
  bool m_lookup_wanted = true;
  TimeMs m_next_lookup;
  bool m_lookup_running = false;
  std::atomic<bool> m_tick_scheduled{false};
};

/// Releases a dispatch at the end of its scope.
class DispatchGuard {
 public:
  DispatchGuard(CellSession& session, DispatchId dispatch)
      : m_session(session), m_dispatch(dispatch) {}
  ~DispatchGuard() { m_session.Release(m_dispatch); }
  DispatchGuard(const DispatchGuard&) = delete;
  DispatchGuard& operator=(const DispatchGuard&) = delete;

 private:
  CellSession& m_session;
  DispatchId m_dispatch;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_GATEWAY_CELL_SESSION_H_
