/// \file
/// \brief Decides which part of every quota a node may spend or lend.

#ifndef YUCCAMOOR_COORDINATION_QUOTA_QUOTA_SHARE_H_
#define YUCCAMOOR_COORDINATION_QUOTA_QUOTA_SHARE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <utility>

#include "yuccamoor/coordination/quota/quota_members.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor::fleet {

/// The share of one node: one part of as many as there are members. The shares
/// of all nodes never exceed one together, as long as the fleet does not more
/// than double while nodes are without the store:
/// - a node has no share until the others count it;
/// - a member that is removed is counted for as long as it may spend;
/// - a node that may have missed others that joined uses half of its share, and
///   after a while nothing;
/// - a process has no share while an earlier one's share may still be lent.
class QuotaShare {
 public:
  QuotaShare(NodeId self, const QuotaTimes& times, TimeMs started)
      : m_self(std::move(self)), m_times(times), m_started(started) {}

  /// Takes up the members. \p current_at is the time as of which they are known
  /// to be all.
  void OnMembers(const QuotaMembers& members,
                 const std::optional<TimeMs>& current_at, TimeMs now);
  /// The part of each quota, from 0 to 1.
  double Part(TimeMs now) const;
  /// Nodes that may have a share.
  std::size_t counted() const { return m_seen.size(); }

 private:
  NodeId m_self;
  QuotaTimes m_times;
  TimeMs m_started;
  std::optional<TimeMs> m_current_at;
  bool m_is_settled = false;
  // When each node was last seen as a member.
  std::map<NodeId, TimeMs> m_seen;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_QUOTA_QUOTA_SHARE_H_
