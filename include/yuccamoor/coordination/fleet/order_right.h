/// \file
/// \brief Decides whether a node may still order the engines that it holds.

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

/// What a node sees in the store.
struct StoreView {
  /// Whether the store has answered lately.
  bool fresh = false;
  /// Nodes registered.
  std::uint32_t nodes = 0;
  /// Fencing numbers of the engines' holders. Told only while some node cannot
  /// reach the store.
  std::map<EndpointId, Epoch> holders;
};

/// What another node says of the engines' holders.
struct PeerReport {
  StoreView store;
  /// Engines that it holds itself.
  std::set<EndpointId> held;
};

/// A holder may order while its lease was renewed lately. Without the store it
/// may while every other node has just said that it holds none of its engines,
/// and each that reaches the store that the records stand.
class OrderRight {
 public:
  /// A holder that has not renewed its lease for this long gives no orders: its
  /// records may have been taken away without a word.
  static constexpr DurationMs kLeaseValidity{1'500};

  explicit OrderRight(NodeId self) : m_self(std::move(self)) {}

  /// Takes what a node said itself. What another node passed on may have been
  /// held up, so that it is no sign of the node's present state.
  void OnPeerReport(const NodeId& node, PeerReport sight, TimeMs now);
  /// Call it several times a second: a longer pause means that the VM was
  /// suspended, and that what is read next may be old.
  void OnTick(TimeMs now);

  /// Whether the lease alone gives the right; \p renewed as for MayOrder.
  static bool IsRenewed(std::optional<TimeMs> renewed, TimeMs now) {
    return renewed && now - *renewed < kLeaseValidity;
  }
  /// \p renewed is when the node's last renewal was sent; nothing without a
  /// lease. \p held maps the node's engines to their fencing numbers, \p nodes
  /// are all nodes registered.
  bool MayOrder(std::optional<TimeMs> renewed,
                const std::map<EndpointId, Epoch>& held,
                const std::set<NodeId>& nodes, TimeMs now) const;

 private:
  struct ReceivedReport {
    TimeMs at;
    PeerReport sight;
  };

  bool PeersConfirm(const std::map<EndpointId, Epoch>& held,
                    const std::set<NodeId>& nodes, TimeMs now) const;
  static bool ConfirmsOwnership(const PeerReport& peer,
                                const std::map<EndpointId, Epoch>& held,
                                std::size_t nodes);

  NodeId m_self;
  std::map<NodeId, ReceivedReport> m_reports;
  std::optional<TimeMs> m_last_tick;
  TimeMs m_ignore_reports_until;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_ORDER_RIGHT_H_
