/// \file
/// \brief Decides when a node reads the store's changes itself.
///
/// Load pattern: every endpoint writes its entry about once a second, so a
/// watch of the store returns at once with entries that changed nothing. If
/// every node of a large fleet watched by itself, calls and decoding would grow
/// with nodes times endpoints. Instead, two readers of each failure domain
/// watch and pass on what changed. The other nodes follow them, and read by
/// themselves once they have not heard from a reader for a while.
///
/// A node cannot tell a slow store, which needs patience, from one that has
/// fallen silent, which has to be asked anew. Therefore it does both: a read
/// that is overdue goes on, and further ones begin beside it at regular
/// intervals. The first answer counts. So the time from the store's return to
/// the next read is one interval, however long the outage was.
///
/// An answer of which parts are arriving is not overdue, however long it takes:
/// further reads would share the same link and delay it.

#ifndef YUCCAMOOR_COORDINATION_FLEET_WATCH_PLAN_H_
#define YUCCAMOOR_COORDINATION_FLEET_WATCH_PLAN_H_

#include <cstddef>
#include <map>
#include <optional>

#include "yuccamoor/coordination/fleet/fleet_store.h"
#include "yuccamoor/coordination/fleet/fleet_view.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor::fleet {

/// The outcome of a read, which decides how soon the next one follows.
enum class ReadOutcome : std::uint8_t {
  /// The store or the connection to it was silent.
  kUnanswered,
  kFailed,
  kUnchanged,
  kChanged,
};

/// Whether the store has given what was asked for.
bool IsAnswer(ReadOutcome outcome);

/// Schedules one node's reads. In a small fleet every node is a reader.
class WatchPlan {
 public:
  /// \p max_propagation_delay is the maximum time until a change in the store
  /// has to be in force at every node.
  WatchPlan(NodeId self, FailureDomainId domain,
            DurationMs max_propagation_delay, TimeMs started);

  /// Determines the readers anew. All nodes with the same view of the
  /// registered nodes agree on them.
  void SetNodes(const std::map<NodeId, NodeRecord>& nodes);
  /// Records the beginning of this node's own read, beside those under way.
  void OnReadBegun(TimeMs now);
  /// Records that a part of an answer has come.
  void OnProgress(TimeMs now) { m_last_progress = now; }
  /// Records the end of this node's own read. After an answer, the others under
  /// way do not count any more.
  void OnRead(ReadOutcome outcome, TimeMs now);
  /// Records that changes were received from a reader.
  void OnReceived(TimeMs now);
  /// Requests an own read, because a reader's message shows that this node has
  /// missed changes.
  void RequestRead(TimeMs now);

  /// Records that the store was restored: everything has to be read, and the
  /// reads under way do not count any more. Spreads the reads of a large fleet.
  void OnStoreRestored(TimeMs now);

  /// When the next own read is due, also while others are under way.
  TimeMs NextRead() const;
  /// How to make the next read. A connection may fall silent for good while new
  /// ones work: the node notices that, and reads again, within the maximum
  /// propagation delay.
  ReadOptions NextReadOptions() const;
  /// Reads under way that count.
  std::size_t reads_under_way() const { return m_under_way; }
  /// Whether to pass changes on to the node's failure domain after a read that
  /// ends at \p now: as a reader, or in place of readers that are not heard.
  bool PassesOn(TimeMs now) const;

 private:
  bool IsLarge() const;
  bool IsReader() const;
  bool IsFollower() const { return IsLarge() && !IsReader(); }
  bool HasFailed() const;
  // How long a read may take until it is overdue.
  DurationMs Patience() const;
  // The time between reads of a store that does not answer.
  DurationMs OverdueInterval() const;
  // When the next read begins beside those under way.
  TimeMs NextReadBeside() const;
  TimeMs NextReadAfterLast() const;
  DurationMs ReaderPause() const;
  DurationMs SmallFleetPause() const;
  DurationMs RequestSpread() const;
  // How long this node waits for a reader before it reads by itself.
  DurationMs FollowerTimeout() const;

  NodeId m_self;
  FailureDomainId m_domain;
  DurationMs m_max_propagation_delay;
  TimeMs m_started;
  std::size_t m_nodes = 0;
  // The number of nodes of the domain that come before this one.
  std::size_t m_rank = 0;
  TimeMs m_last_read;
  ReadOutcome m_last_outcome = ReadOutcome::kUnchanged;
  TimeMs m_last_begun;
  std::optional<TimeMs> m_last_progress;
  std::size_t m_under_way = 0;
  // A read was overdue or lost, and the store has not answered since.
  bool m_is_silent = false;
  // The store may have taken changes during its silence or since: the node
  // reads without pause until an answer brings none.
  bool m_catches_up = false;
  std::optional<TimeMs> m_last_received;
  std::optional<TimeMs> m_requested;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_WATCH_PLAN_H_
