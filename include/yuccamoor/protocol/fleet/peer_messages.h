/// \file
/// \brief Datagrams between the nodes of a fleet. Each may be lost: requests
/// are repeated, states are told again.

#ifndef YUCCAMOOR_PROTOCOL_FLEET_PEER_MESSAGES_H_
#define YUCCAMOOR_PROTOCOL_FLEET_PEER_MESSAGES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "yuccamoor/coordination/fleet/order_right.h"
#include "yuccamoor/state/fleet/endpoint_entry.h"

namespace yuccamoor::fleet {

/// An engine as its holder sees it.
struct HeldEngineStatus {
  /// Whether the holder may give orders now.
  bool ordering = false;
  std::uint32_t loading = 0;
  /// Adapters that wait to be loaded.
  std::uint32_t waiting = 0;
  AdapterSet adapters;
};

/// Requests by engine and adapter.
using UsedAdapters = std::map<EndpointId, std::map<AdapterRef, std::uint32_t>>;

/// What a node tells all others from time to time.
struct NodeStatus {
  NodeId node;
  StoreView store;
  /// Requests under way, by endpoint.
  std::map<EndpointId, std::uint32_t> in_flight;
  /// Requests begun or under way since the last status, by engine and adapter.
  UsedAdapters used;
  /// The engines that the node holds.
  std::map<EndpointId, HeldEngineStatus> held;
};

/// Asks an engine's holder to have an adapter loaded.
struct AskLoad {
  NodeId node;
  EndpointId engine;
  AdapterRef adapter;
  AdapterRevision version;
  int priority = 0;
  /// Requests for it since it was asked for.
  std::uint32_t demand = 1;
  /// How soon it has to be in place for the newest of them to be on time; not
  /// positive if that one is late already.
  DurationMs on_time{0};
};

/// Answers AskLoad: the adapter will be in place about then.
struct TellQueued {
  EndpointId engine;
  AdapterRef adapter;
  DurationMs wait{0};
};

/// Tells that an adapter is in place.
struct TellLoaded {
  EndpointId engine;
  AdapterRef adapter;
  AdapterRevision version;
};

/// Tells an engine's holder that the engine does not hold an adapter.
struct TellMissing {
  EndpointId engine;
  AdapterRef adapter;
};

/// Tells all nodes that an engine will unload an adapter unless one of them
/// has requests for it there.
struct TellRetired {
  NodeId holder;
  EndpointId engine;
  AdapterRef adapter;
};

/// Answers TellRetired of a node with such requests.
struct TellInUse {
  EndpointId engine;
  AdapterRef adapter;
};

/// Tells that an engine has a large prompt to prefill.
struct TellPrompt {
  EndpointId engine;
  std::uint32_t tokens = 0;
};

using PeerMessage =
    std::variant<NodeStatus, AskLoad, TellQueued, TellLoaded, TellMissing,
                 TellPrompt, TellRetired, TellInUse>;

std::string EncodePeerMessage(const PeerMessage& message);

/// Returns nothing for a datagram that is no such message.
std::optional<PeerMessage> DecodePeerMessage(std::string_view datagram);

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_PROTOCOL_FLEET_PEER_MESSAGES_H_
