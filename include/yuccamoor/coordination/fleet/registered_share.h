/// \file
/// \brief Decides which part of what all nodes share a node may use, by the
/// registered nodes.

#ifndef YUCCAMOOR_COORDINATION_FLEET_REGISTERED_SHARE_H_
#define YUCCAMOOR_COORDINATION_FLEET_REGISTERED_SHARE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <utility>

#include "yuccamoor/coordination/fleet/fleet_view.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor::fleet {

/// Bounds how long shares may be used that others cannot know of.
struct ShareTimes {
  /// What a node has read of the store is current for this long.
  DurationMs current{1'500};
  /// A node has no share until it has been registered for this long: by then,
  /// nodes with a current view count it.
  DurationMs activation{3'000};
  /// A node without the store has no share after this. Until then, nodes that
  /// have started since may not know of it.
  DurationMs without_store{10'000};

  /// \p max_propagation_delay is the time within which changes in the store
  /// are known to all nodes.
  static ShareTimes For(DurationMs max_propagation_delay);
};

/// The share of one node: one part of as many as there are nodes that may have
/// one. The shares of all nodes never exceed one together, as long as the fleet
/// does not more than double while nodes are without the store:
/// - a node that joins waits until the others count it;
/// - a node that is registered no more is counted for as long as it may spend;
/// - a node that may have missed others that joined uses half of its share, and
///   after a while nothing;
/// - so does a node that has started lately, as it does not know of those that
///   were registered before and may still use half of theirs.
class RegisteredShare {
 public:
  /// \p first_start tells that the whole fleet starts for the first time: no
  /// other process can have a share from before.
  RegisteredShare(NodeId self, const ShareTimes& times, bool first_start)
      : m_self(std::move(self)), m_times(times), m_first_start(first_start) {}

  /// Takes up the registered nodes. \p current_at is the time as of which they
  /// are known to be all.
  void OnView(const std::map<NodeId, NodeRecord>& nodes,
              const std::optional<TimeMs>& current_at, TimeMs now);
  /// The part of what all nodes share, from 0 to 1.
  double Part(TimeMs now) const;
  /// Nodes that may have a share.
  std::size_t counted() const { return m_seen.size(); }

 private:
  NodeId m_self;
  ShareTimes m_times;
  bool m_first_start;
  std::optional<TimeMs> m_current_at;
  // When this node was first seen registered, without a break since.
  std::optional<TimeMs> m_registered;
  // When each node was last seen registered.
  std::map<NodeId, TimeMs> m_seen;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_REGISTERED_SHARE_H_
