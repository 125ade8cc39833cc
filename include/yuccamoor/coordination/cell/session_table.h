/// \file
/// \brief A leader's sessions with gateways and the grants under them.

#ifndef YUCCAMOOR_COORDINATION_CELL_SESSION_TABLE_H_
#define YUCCAMOOR_COORDINATION_CELL_SESSION_TABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"
#include "yuccamoor/state/residency.h"

namespace yuccamoor {

/// One grant as the leader keeps it.
struct GrantRecord {
  ResidencyGrant grant;
  bool recalled = false;
};

/// One gateway's session.
struct Session {
  Incarnation incarnation;
  Sequence acknowledged;
  /// From here on nothing is sent under the session's grants.
  TimeMs expires;
  /// When the latest sync was handled; the times in `wants` count from here.
  TimeMs synced_at;
  std::vector<ResidencyWant> wants;
  std::map<LeaseNumber, GrantRecord> grants;
  /// The newest grant of each slot.
  std::map<SlotKey, LeaseNumber> by_slot;
  /// Something is to be told to the gateway unasked.
  bool dirty = false;
};

/// How a sync was taken.
enum class SyncOutcome : std::uint8_t {
  kAccepted,
  /// Older than one already handled, or of an earlier life of the gateway.
  kStale,
  /// The leader does not know the session: a full sync is needed.
  kUnknownSession,
};

/// Grants that ended without the gateway's word: what ran under them may still
/// run.
using EndedGrants = std::vector<SlotKey>;

/// Sessions by gateway. Not thread-safe.
class SessionTable {
 public:
  /// What handling a sync changed.
  struct SyncResult {
    SyncOutcome outcome = SyncOutcome::kAccepted;
    /// Slots whose grant was given back.
    std::vector<SlotKey> returned;
    /// Grants of an earlier life of the gateway.
    EndedGrants ended;
    /// Grants that the gateway lists and this table does not hold.
    std::vector<ResidencyHolding> unknown;
  };

  /// Handles a sync: wants, returns and, in a full one, holdings. The session
  /// then expires at \p expires.
  SyncResult OnSync(const ResidencySync& sync, TimeMs now, TimeMs expires);

  /// Whether the gateway's life has a session.
  bool Knows(const NodeId& gateway, Incarnation incarnation) const;

  /// Adds a grant to the gateway's session, which must exist.
  void Add(const NodeId& gateway, GrantRecord record);

  /// Marks every grant of the slot as recalled.
  void Recall(const SlotKey& slot);
  /// Marks every grant on the worker as recalled.
  void RecallWorker(const WorkerId& worker);

  /// Removes sessions that expired before \p now.
  EndedGrants Expire(TimeMs now);
  /// Removes the session of a gateway that is known to have ended.
  EndedGrants Remove(const NodeId& gateway);

  /// The number of grants of the slot that are neither returned nor expired.
  std::uint32_t Outstanding(const SlotKey& slot) const;

  /// Whether a gateway holds a grant of the slot on this instance that has not
  /// been recalled.
  bool IsHeld(const SlotKey& slot, const InstanceId& instance) const;

  /// Returns the gateway's newest grant of the slot, or null.
  static const GrantRecord* Find(const Session& session, const SlotKey& slot);

  std::map<NodeId, Session>& sessions() { return m_sessions; }
  const std::map<NodeId, Session>& sessions() const { return m_sessions; }

 private:
  void Drop(Session& session, LeaseNumber lease);
  void ApplyFull(const ResidencySync& sync, Session& session,
                 SyncResult& result);

  std::map<NodeId, Session> m_sessions;
  std::map<SlotKey, std::uint32_t> m_outstanding;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_CELL_SESSION_TABLE_H_
