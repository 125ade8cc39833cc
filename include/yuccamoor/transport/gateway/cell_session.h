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

/// How a wait for a grant ended: a placement, a refusal, or neither when the
/// deadline passed.
struct AcquireResult {
  std::optional<Placement> placement;
  std::optional<ResidencyRefusal> refusal;
};

/// One session. Safe to use from several threads; its mutex is a leaf of the
/// lock order, and no call leaves the process while it is held.
class CellSession : public std::enable_shared_from_this<CellSession> {
 public:
  /// \p reply_to is where the leader sends updates unasked, as "ip:port".
  static Result<std::shared_ptr<CellSession>> Create(
      CellSessionServices services, ResidencyClientOptions options,
      std::string reply_to);

  /// Waits until a request for the target may be sent to some worker. Asks
  /// \p caller_gone from time to time and gives up as at the deadline if so.
  Awaitable<AcquireResult> Acquire(AdapterVersion target, Priority priority,
                                   TimeMs deadline, std::uint64_t prefix_key,
                                   std::function<bool()> caller_gone);

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
    AdapterVersion target;
    std::shared_ptr<AsyncEvent> event;
    std::optional<ResidencyRefusal> refusal;
    std::function<bool()> gone;
  };
  using CallerList = std::list<std::shared_ptr<Caller>>;

  CellSession(CellSessionServices services, ResidencyClient client, CellId cell,
              std::string reply_to);

  Awaitable<AcquireResult> Wait(std::shared_ptr<Caller> caller, TimeMs deadline,
                                std::uint64_t prefix_key);
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

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_GATEWAY_CELL_SESSION_H_
