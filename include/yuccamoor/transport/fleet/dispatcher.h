/// \file
/// \brief Finds endpoints for requests, asks holders to load adapters, and
/// keeps what this node and its peers have under way.

#ifndef YUCCAMOOR_TRANSPORT_FLEET_DISPATCHER_H_
#define YUCCAMOOR_TRANSPORT_FLEET_DISPATCHER_H_

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <vector>

#include "yuccamoor/coordination/fleet/adapter_popularity.h"
#include "yuccamoor/coordination/fleet/concurrent_loads.h"
#include "yuccamoor/coordination/fleet/endpoint_choice.h"
#include "yuccamoor/coordination/fleet/fleet_size.h"
#include "yuccamoor/coordination/fleet/peer_loads.h"
#include "yuccamoor/coordination/fleet/prefill_pacing.h"
#include "yuccamoor/protocol/fleet/peer_messages.h"
#include "yuccamoor/transport/fleet/node_context.h"

namespace yuccamoor::fleet {

/// The requests of this node that wait for an adapter.
struct WaitingDemand {
  std::uint32_t requests = 0;
  /// The newest of them is on time if the adapter is in place by then.
  TimeMs on_time_until;
};

/// Shared by all requests of a node.
class Dispatcher {
 public:
  using SendToPeer = std::function<void(const NodeId&, const PeerMessage&)>;
  using Broadcast = std::function<void(const PeerMessage&)>;

  Dispatcher(NodeContext& context, SendToPeer send, Broadcast broadcast);

  /// Chooses an endpoint. An adapter that is in place nowhere, or needs one
  /// more copy, is asked for.
  EndpointChoice Choose(EndpointQuery query, int priority);

  /// Whether the fleet is large: engines' holders admit requests then, instead
  /// of every node telling all others its state.
  bool IsLarge() const;
  /// Chooses an endpoint by what this node knows, without asking for loads.
  EndpointChoice ChooseKnown(const EndpointQuery& query) const;
  std::uint32_t CountEngines(const ServiceId& service, TimeMs now) const;
  WaitingDemand DemandFor(const AdapterRef& adapter) const;

  /// Whether the engine can take the prompt without holding up its streams.
  bool AllowsPrompt(const EndpointId& engine, const PromptOffer& prompt) const;
  /// Notes a prompt that is sent to the engine, and tells the peers of a small
  /// fleet.
  void OnPrompt(const EndpointId& engine, std::uint32_t tokens);
  void OnPeerPrompt(const TellPrompt& told);

  /// Notes a request for an adapter that is not in place. It counts until the
  /// adapter is, also if it is refused meanwhile: its client comes back.
  /// It is on time if the adapter is in place by \p on_time_until.
  void AddDemand(const AdapterRef& adapter, TimeMs on_time_until);
  /// Returns when the adapter will probably be in place, if a holder has said.
  std::optional<TimeMs> ExpectedAt(const AdapterRef& adapter) const;

  /// Whether some engine of the service can be asked to load.
  bool AnyOrdering(const ServiceId& service) const;

  /// Notes that a request goes to the endpoint and that it has ended there.
  void OnBegin(const EndpointId& endpoint,
               const std::optional<AdapterRef>& adapter);
  void OnEnd(const EndpointId& endpoint,
             const std::optional<AdapterRef>& adapter);
  /// Notes that an engine does not hold an adapter that it was thought to.
  void OnMissing(const EndpointId& engine, const AdapterRef& adapter);

  /// Stops using the adapter there, unless requests of this node run on it.
  std::optional<TellInUse> OnRetired(const TellRetired& told);

  void OnPeerStatus(const NodeStatus& status);
  /// Notes how another node uses the engines that this one holds.
  void OnPeerUse(const TellUse& told);
  /// Counts a new request for an engine.
  void OnEngineRequest();
  /// Returns what to tell the holders of the engines in use, where it is due.
  std::map<NodeId, TellUse> TakeUse(TimeMs now);
  /// The estimated requests per second of the whole fleet to engines.
  double FleetRate() const;
  /// Notes the load of an engine that was asked for admission.
  void OnEngineQuote(const EngineQuote& quote);
  /// The mean requests in flight at an engine.
  double MeanEngineRequests() const { return m_mean_requests; }
  /// Notes what a plain endpoint has said of its load.
  void OnEndpointLoad(const EndpointId& endpoint, const EndpointLoad& load);
  void OnLoaded(const TellLoaded& told);
  void OnQueued(const TellQueued& told);
  void OnLocalHeld(const std::map<EndpointId, HeldEngineStatus>& held);
  /// Adapters on their way to engines that other nodes hold.
  std::uint32_t LoadsElsewhere() const;
  /// What LoadsElsewhere seldom exceeds in truth.
  std::uint32_t MaxLoadsElsewhere() const;

  /// Whether some node has just said that it cannot reach the store.
  bool SomeNodeWithoutStore() const;

  /// Returns what to tell the other nodes, and starts the next interval.
  NodeStatus TakeStatus();
  /// Forgets peers that are silent.
  void OnTick(TimeMs now);

 private:
  struct Peer {
    TimeMs heard;
    NodeStatus status;
  };
  struct PeerUse {
    TimeMs heard;
    double requests_per_second = 0;
  };
  // An engine whose holder gives orders.
  struct Ordering {
    TimeMs told;
    std::uint32_t waiting = 0;
  };
  struct Asked {
    EndpointId engine;
    TimeMs at;
    TimeMs first;
    // What its holder was told.
    std::uint32_t demand = 0;
    std::optional<TimeMs> expected;
  };

  void AskForLoad(const EndpointQuery& query, int priority,
                  const std::vector<EndpointId>& places, bool urgent);
  void Ask(const EndpointQuery& query, int priority, Asked& asked);
  void NoteOrdering(const EndpointId& engine, const HeldEngineStatus& held);
  bool IsOrdering(const EndpointId& engine, TimeMs now) const;
  std::optional<EndpointId> PlaceToAsk(const AdapterRef& adapter,
                                       const std::vector<EndpointId>& places,
                                       const std::vector<Asked>& asked,
                                       TimeMs now) const;
  void NoteHomes(const EndpointId& engine, const AdapterSet& adapters);
  void NoteHeld(const std::map<EndpointId, HeldEngineStatus>& held, TimeMs now);
  void ShowPeerLoads(const std::vector<EndpointId>& changed);
  void Sweep(TimeMs now);
  void NotePopularity(const UsedAdapters& used, TimeMs now);

  NodeContext& m_context;
  SendToPeer m_send;
  Broadcast m_broadcast;
  AdapterPopularity m_popularity;
  std::map<NodeId, Peer> m_peers;
  PeerLoads m_peer_loads;
  std::map<EndpointId, Ordering> m_ordering;
  std::map<AdapterRef, std::vector<Asked>> m_asked;
  // Requests since the adapter was asked for.
  std::map<AdapterRef, WaitingDemand> m_demand;
  // The engine that held an adapter last: its host memory probably still has
  // it.
  std::map<AdapterRef, EndpointId> m_homes;
  // Requests under way, and begun in this interval.
  UsedAdapters m_running;
  UsedAdapters m_begun;
  EngineUseReports m_use;
  // The nodes that use engines of this one.
  std::map<NodeId, PeerUse> m_peer_uses;
  // Means over the engines that were asked lately.
  ConcurrentLoads m_loads;
  double m_mean_requests = 0;
  // Plain endpoints that have said their load, and when.
  std::map<EndpointId, TimeMs> m_load_told;
  TimeMs m_swept;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_TRANSPORT_FLEET_DISPATCHER_H_
