/// \file
/// \brief Decides when a node reads the store's changes itself.
///
/// Load pattern: every endpoint writes its entry about once a second, so a
/// watch of the store returns at once with entries that changed nothing. If
/// every node of a large fleet watched by itself, calls and decoding would grow
/// with nodes times endpoints. Instead, two readers of each failure domain
/// watch and pass on what changed. The other nodes follow them, and read by
/// themselves once they have not heard from a reader for a while.

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
  /// Records the end of this node's own read.
  void OnRead(ReadOutcome outcome, TimeMs now);
  /// Records that changes were received from a reader.
  void OnReceived(TimeMs now);
  /// Requests an own read, because a reader's message shows that this node has
  /// missed changes.
  void RequestRead(TimeMs now);

  /// How soon to read everything anew once the store was restored. Spreads the
  /// reads of a large fleet.
  DurationMs RestoredReadDelay() const;

  /// When the next own read is due.
  TimeMs NextRead() const;
  /// The times of the next watch. A connection may fall silent for good while
  /// new ones work: the node notices that, and reads again, within the maximum
  /// propagation delay.
  WatchTimes NextWatch() const;
  /// Whether to pass changes on to the node's failure domain after a read that
  /// ends at \p now: as a reader, or in place of readers that are not heard.
  bool PassesOn(TimeMs now) const;

 private:
  bool IsLarge() const;
  bool IsReader() const;
  bool HasFailed() const;
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
  // Reads without answer since the last one with an answer.
  int m_unanswered = 0;
  std::optional<TimeMs> m_last_received;
  std::optional<TimeMs> m_requested;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_WATCH_PLAN_H_
