/// \file
/// \brief Messages between gateways and a cell's leader about residency
/// leases: the right to send requests for an adapter version to a worker.
///
/// A gateway holds one session per cell. The session has one deadline, which
/// every sync that the leader answers moves on; the grants under it share that
/// deadline. A gateway counts the deadline from the time at which it sent the
/// acknowledged sync, the leader from the time at which it handled it, so that
/// the gateway's always comes first. All times in messages are durations.

#ifndef YUCCAMOOR_STATE_RESIDENCY_H_
#define YUCCAMOOR_STATE_RESIDENCY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"
#include "yuccamoor/state/priority.h"

namespace yuccamoor {

/// One adapter version on one worker.
struct SlotKey {
  WorkerId worker;
  AdapterVersion target;

  friend auto operator<=>(const SlotKey&, const SlotKey&) = default;
};

/// Requests that wait at a gateway for an adapter version.
struct ResidencyWant {
  AdapterVersion target;
  Priority priority = Priority::kNormal;
  std::uint32_t waiters = 0;
  DurationMs oldest_wait;
  /// Time left until the first waiter's deadline.
  DurationMs shortest_deadline;
};

/// A grant that the gateway holds, listed in full syncs and when its count of
/// running requests is asked for by a recall.
struct ResidencyHolding {
  LeaseNumber lease;
  AdapterVersion target;
  WorkerId worker;
  InstanceId instance;
  std::uint32_t running = 0;
};

/// Gateway to leader. Sent when wants change and at each renewal interval.
struct ResidencySync {
  NodeId gateway;
  /// Where the gateway takes unasked updates, as "ip:port".
  std::string reply_to;
  Incarnation incarnation;
  CellId cell;
  /// The leader's epoch that the gateway knows.
  Epoch epoch;
  Sequence sequence;
  /// True: `holdings` lists every grant held, and grants not listed are
  /// returned. Sent first to a new leader.
  bool full = false;
  /// The complete list of what is waited for; absent targets are not wanted.
  std::vector<ResidencyWant> wants;
  std::vector<ResidencyHolding> holdings;
  /// Grants given back: nothing runs under them and nothing will.
  std::vector<LeaseNumber> returns;
};

/// The right to send requests for the target to the worker until the session's
/// deadline.
struct ResidencyGrant {
  LeaseNumber lease;
  AdapterVersion target;
  WorkerId worker;
  /// The worker's address as "ip:port".
  std::string address;
  InstanceId instance;
  /// The most requests that the gateway may run under this grant at once.
  std::uint32_t credit = 0;
};

/// Why a want cannot be met.
enum class RefusalReason : std::uint8_t {
  kUnknownCell,
  kOverloaded,
  kDeadlineTooShort,
  kLoadFailed,
  kNotLeader,
};

/// Tells the gateway to fail the waiters of a target at once as not run.
struct ResidencyRefusal {
  AdapterVersion target;
  RefusalReason reason = RefusalReason::kOverloaded;
  DurationMs retry_after;
};

/// Leader to gateway, as the answer to a sync or unasked.
struct ResidencyUpdate {
  CellId cell;
  Epoch epoch;
  NodeId gateway;
  Incarnation incarnation;
  /// The latest sync of this session that the leader has handled.
  Sequence acknowledged;
  /// The session's time to live, counted from that sync.
  DurationMs session_ttl;
  /// True: the leader does not know this session and wants a full sync.
  bool resync = false;
  std::vector<ResidencyGrant> grants;
  /// Grants to give back once nothing runs under them; no new sends.
  std::vector<LeaseNumber> recalls;
  std::vector<ResidencyRefusal> refusals;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_STATE_RESIDENCY_H_
