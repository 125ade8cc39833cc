/// \file
/// \brief The nodes that share the quotas, as a lasting record in the store.
///
/// Registrations end with their leases, so that a fleet that starts again could
/// not know who may still spend. The record lasts: a node that starts again has
/// its share at once, and one that is cut off stays counted.

#ifndef YUCCAMOOR_COORDINATION_QUOTA_QUOTA_MEMBERS_H_
#define YUCCAMOOR_COORDINATION_QUOTA_QUOTA_MEMBERS_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "yuccamoor/coordination/fleet/fleet_view.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor::fleet {

/// Bounds how long shares may be used that others cannot know of.
struct QuotaTimes {
  /// What a node has read of the store is current for this long.
  DurationMs current{1'500};
  /// How long a share is lent.
  DurationMs lent{600};
  /// A node has no share until it has been a member for this long: by then,
  /// nodes with a current view count it, and what they lent before is over.
  DurationMs activation{3'000};
  /// A node without the store has no share after this.
  DurationMs without_store{10'000};

  /// \p max_propagation_delay is the time within which changes in the store
  /// are known to all nodes.
  static QuotaTimes For(DurationMs max_propagation_delay);
};

/// The content of the record.
struct QuotaMembers {
  /// Counted by all, but without a share of their own yet.
  std::set<NodeId> joining;
  /// Nodes with a share.
  std::set<NodeId> settled;

  bool Contains(const NodeId& node) const {
    return joining.contains(node) || settled.contains(node);
  }
  std::size_t size() const { return joining.size() + settled.size(); }
  friend bool operator==(const QuotaMembers&, const QuotaMembers&) = default;
};

/// Encodes as lines "joining" and "settled" with names; text without these
/// names nobody.
std::string EncodeQuotaMembers(const QuotaMembers& members);
QuotaMembers DecodeQuotaMembers(std::string_view text);

/// Decides how the record has to change. One node writes it: the first of the
/// registered ones by rendezvous hashing. Several that believe so hinder each
/// other only.
class QuotaMemberPlan {
 public:
  QuotaMemberPlan(NodeId self, const QuotaTimes& times)
      : m_self(std::move(self)), m_times(times) {}

  /// Returns the record's new content, where this node has to write one.
  std::optional<QuotaMembers> Next(const std::map<NodeId, NodeRecord>& nodes,
                                   const QuotaMembers& members, TimeMs now);

 private:
  bool IsWriter(const std::map<NodeId, NodeRecord>& nodes) const;
  void Observe(const std::map<NodeId, NodeRecord>& nodes,
               const QuotaMembers& members, TimeMs now);

  NodeId m_self;
  QuotaTimes m_times;
  // Since when this node has seen each one joining, and each member without a
  // registration.
  std::map<NodeId, TimeMs> m_joining_since;
  std::map<NodeId, TimeMs> m_missing_since;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_QUOTA_QUOTA_MEMBERS_H_
