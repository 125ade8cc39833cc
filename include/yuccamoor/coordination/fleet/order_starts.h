/// \file
/// \brief Decides from when on a node may order the engines that it has become
/// the holder of.

#ifndef YUCCAMOOR_COORDINATION_FLEET_ORDER_STARTS_H_
#define YUCCAMOOR_COORDINATION_FLEET_ORDER_STARTS_H_

#include <cstdint>
#include <map>
#include <set>

#include "yuccamoor/coordination/fleet/fleet_view.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor::fleet {

/// Why a holder begins to give orders when it does.
enum class OrderStartReason : std::uint8_t {
  /// Another node may have ordered the engine until now: the holder waits.
  kMayHaveHadHolder,
  /// No node can have held the engine.
  kNeverHeld,
  /// This node ordered the engine a moment ago, and no other can have since.
  kOrderedLately,
  /// The VM's earlier process ordered the engine, and its record has stood ever
  /// since.
  kEarlierProcess,
};

/// The reason's name in logs.
const char* ToText(OrderStartReason reason);

/// When the holder whose record has that fencing number may begin.
struct OrderStart {
  Epoch fence;
  TimeMs from;
  OrderStartReason reason = OrderStartReason::kMayHaveHadHolder;
};

/// What is known of an engine when this node becomes its holder.
struct HolderEvidence {
  /// The view has seen the engine since it registered, and no holder.
  bool never_held = false;
  /// The holder's record is that of the VM's earlier process, which ordered the
  /// engine.
  bool earlier_process = false;
};

/// The starts of one node. A holder waits until the one before has given its
/// last order, unless something shows that there was none.
class OrderStarts {
 public:
  /// Orders of two holders have to be \p separation apart.
  explicit OrderStarts(DurationMs separation) : m_separation(separation) {}

  /// Returns from when on the node may order an engine whose record, with that
  /// fencing number, names it. Of the same record, the answer stays.
  OrderStart TakeUp(const EndpointId& engine, Epoch fence,
                    const HolderEvidence& evidence, TimeMs now);
  /// Notes that the node has the right to order the engine now, with that
  /// fencing number.
  void OnOrdering(const EndpointId& engine, Epoch fence, TimeMs now);
  /// Notes that another node holds the engine.
  void OnOtherHolder(const EndpointId& engine) { m_ordered.erase(engine); }
  /// Forgets the starts of records that are not among \p holders.
  void RetainOnly(const std::map<EndpointId, HolderRecord>& holders);
  /// Forgets all starts, as the node has lost its lease.
  void Clear() { m_starts.clear(); }

  /// Engines that no other node can have ordered since this one did: another
  /// one waits longer than this after its claim.
  std::set<EndpointId> OrderedLately(TimeMs now) const;

 private:
  // The node's last right to order an engine.
  struct LastOrdered {
    Epoch fence;
    TimeMs at;
  };

  OrderStartReason ReasonFor(const EndpointId& engine, Epoch fence,
                             const HolderEvidence& evidence, TimeMs now) const;
  // Whether no other node can order the engine from now on, since this one held
  // it last, if the record with that fencing number names it again.
  bool GoesOn(const LastOrdered& last, Epoch fence, TimeMs now) const;
  DurationMs Wait() const;

  DurationMs m_separation;
  // Also of engines whose entries are missing.
  std::map<EndpointId, OrderStart> m_starts;
  std::map<EndpointId, LastOrdered> m_ordered;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_ORDER_STARTS_H_
