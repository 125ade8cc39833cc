/// \file
/// \brief Claims engines, and carries out the orders that are decided for
/// those that this node holds.

#ifndef YUCCAMOOR_TRANSPORT_FLEET_ENGINE_HOLDER_H_
#define YUCCAMOOR_TRANSPORT_FLEET_ENGINE_HOLDER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "yuccamoor/coordination/fleet/engine_control.h"
#include "yuccamoor/coordination/fleet/engine_host.h"
#include "yuccamoor/coordination/fleet/holder_claims.h"
#include "yuccamoor/coordination/fleet/order_right.h"
#include "yuccamoor/coordination/fleet/order_starts.h"
#include "yuccamoor/protocol/fleet/peer_messages.h"
#include "yuccamoor/transport/fleet/lease_keeper.h"

namespace yuccamoor::fleet {

/// The engines that this node holds.
class EngineHolder {
 public:
  /// Called with an adapter that has come into place for a node.
  using Notify = std::function<void(const NodeId&, const TellLoaded&)>;
  /// Called with an adapter that every node should stop using.
  using Announce = std::function<void(const TellRetired&)>;

  EngineHolder(NodeContext& context, LeaseKeeper& lease, EngineControl& control,
               Notify notify, Announce announce);

  /// Takes up and gives up engines by the view of the store.
  void OnViewChanged();
  /// Claims engines, and gives orders that are due.
  void OnTick(TimeMs now);

  /// Takes what another node sees, which tells whether this node still holds
  /// its engines while it cannot reach the store.
  void OnPeerStatus(const NodeStatus& status, TimeMs now);

  /// Returns when the adapter will probably be in place, or nothing if this
  /// node does not hold the engine.
  std::optional<TellQueued> OnAskLoad(const AskLoad& ask);
  /// Whether this node holds the engine.
  bool Holds(const EndpointId& engine) const { return m_held.contains(engine); }
  /// Whether the engine held the adapter lately, as EngineHost::HeldLately.
  bool HeldLately(const EndpointId& engine, const AdapterRef& adapter) const;
  /// Whether this node may have adapters loaded by the engine now.
  bool MayLoad(const EndpointId& engine) const;
  /// The version of the adapter that a held engine holds, if it does. Of a base
  /// model, versions are not distinguished.
  std::optional<AdapterRevision> ResidentVersion(
      const EndpointId& engine, const AdapterRef& adapter) const;
  /// Adapters on their way to a held engine.
  std::uint32_t LoadsInFlight(const EndpointId& engine) const;
  void OnTellMissing(const TellMissing& told);
  void OnTellInUse(const TellInUse& told);
  void OnUsed(const EndpointId& engine, const AdapterRef& adapter,
              std::uint32_t requests);
  void SetPace(const FleetConditions& pace) { m_pace = pace; }

  std::map<EndpointId, HeldEngineStatus> Status() const;
  std::size_t held() const { return m_held.size(); }

 private:
  struct Held {
    EndpointEntry entry;
    EngineHost host;
    Epoch fence;
    TimeMs orders_from;
  };

  bool MayOrder(TimeMs now) const;
  void ClaimNext(TimeMs now);
  void ForgetEndedRecords();
  void TakeUp(const EndpointId& engine, Epoch fence);
  void StateOrdering(TimeMs now);
  void Poll(const EndpointId& engine, TimeMs now);
  void Order(const EndpointId& engine, const Held& held,
             const EngineOrder& order);
  void FetchReport(const EndpointId& engine, const Held& held);
  Held* FindHeld(const EndpointId& engine, Epoch fence);

  NodeContext& m_context;
  LeaseKeeper& m_lease;
  EngineControl& m_control;
  Notify m_notify;
  Announce m_announce;
  HolderClaims m_claims;
  std::map<EndpointId, Held> m_held;
  OrderStarts m_starts;
  // When this process first had a view of the store. It registers then, so that
  // others cannot know of it before.
  std::optional<TimeMs> m_first_view;
  OrderRight m_right;
  bool m_claiming = false;
  TimeMs m_last_claim_check;
  bool m_stating = false;
  TimeMs m_next_statement;
  FleetConditions m_pace;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_TRANSPORT_FLEET_ENGINE_HOLDER_H_
