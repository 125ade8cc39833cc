/// \file
/// \brief Decides whether a node may still send orders to the engines that it
/// holds.

#ifndef YUCCAMOOR_COORDINATION_FLEET_ORDER_RIGHT_H_
#define YUCCAMOOR_COORDINATION_FLEET_ORDER_RIGHT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor::fleet {

/// A node's view of the store.
struct StoreView {
  /// Whether the store has answered recently.
  bool fresh = false;
  /// Number of registered nodes.
  std::uint32_t nodes = 0;
  /// Fencing numbers of the engines' holders. Sent only while some node cannot
  /// reach the store.
  std::map<EndpointId, Epoch> holders;
};

/// Another node's report on the engines' holders.
struct PeerReport {
  StoreView store;
  /// Engines that the reporting node holds itself.
  std::set<EndpointId> held;
};

/// Grants a holder the right to order while its lease was renewed recently.
/// When the store is unreachable, the right lasts while every other node has
/// recently reported that it holds none of the holder's engines, and every node
/// that reaches the store has reported that the holder's records are unchanged.
/// Nodes without the store cannot bring back a right that has lapsed: another
/// node may have held the engines in between.
class OrderRight {
 public:
  /// A holder that has not renewed its lease for this long gives no orders on
  /// the lease alone: its records may have been removed without notice.
  static constexpr DurationMs kLeaseValidity{1'500};

  /// Orders of two holders have to be \p separation apart.
  OrderRight(NodeId self, DurationMs separation)
      : m_self(std::move(self)), m_separation(separation) {}

  /// Records a report received directly from \p node. Relayed reports must not
  /// be passed in: they may have been delayed and do not show the node's
  /// current state.
  void OnPeerReport(const NodeId& node, PeerReport report, TimeMs now);
  /// Must be called several times a second. A longer gap means that the VM was
  /// suspended and that the reports read next may be stale.
  void OnTick(TimeMs now);
  /// Notes that MayOrder gives the right now. Must be called several times a
  /// second while it does.
  void OnRight(TimeMs now) { m_last_right = now; }

  /// Returns whether the lease alone gives the right to order. \p renewed is as
  /// for MayOrder.
  static bool IsRenewed(std::optional<TimeMs> renewed, TimeMs now) {
    return renewed && now - *renewed < kLeaseValidity;
  }
  /// Returns whether the node may order its engines. \p renewed is when the
  /// node's last lease renewal was sent, or nullopt without a lease. \p held
  /// maps the node's engines to their fencing numbers, \p nodes are all
  /// registered nodes, and \p gone others that were so a short time ago.
  bool MayOrder(std::optional<TimeMs> renewed,
                const std::map<EndpointId, Epoch>& held,
                const std::set<NodeId>& nodes, const std::set<NodeId>& gone,
                TimeMs now) const;

 private:
  struct ReceivedReport {
    TimeMs received_at;
    PeerReport report;
  };

  bool PeersConfirm(const std::map<EndpointId, Epoch>& held,
                    const std::set<NodeId>& nodes, const std::set<NodeId>& gone,
                    TimeMs now) const;
  static bool ConfirmsOwnership(const PeerReport& peer,
                                const std::map<EndpointId, Epoch>& held,
                                std::size_t nodes);

  NodeId m_self;
  DurationMs m_separation;
  std::map<NodeId, ReceivedReport> m_reports;
  std::optional<TimeMs> m_last_tick;
  std::optional<TimeMs> m_last_right;
  TimeMs m_ignore_reports_until;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_ORDER_RIGHT_H_
