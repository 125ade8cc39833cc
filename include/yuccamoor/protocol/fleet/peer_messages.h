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
#include <vector>

#include "yuccamoor/coordination/fleet/crash_quarantine.h"
#include "yuccamoor/coordination/fleet/engine_quote.h"
#include "yuccamoor/coordination/fleet/engine_use.h"
#include "yuccamoor/coordination/fleet/fleet_store.h"
#include "yuccamoor/coordination/fleet/order_right.h"
#include "yuccamoor/coordination/fleet/prompt_queue.h"
#include "yuccamoor/coordination/quota/quota_messages.h"
#include "yuccamoor/protocol/fleet/permit_messages.h"
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

/// What a node of a small fleet tells all others from time to time.
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

/// Asks an engine's holder, in a large fleet, when the engine can serve a
/// request.
struct AskAdmission {
  /// The asking node and the request's number there.
  AdmissionId id;
  EndpointId engine;
  AdapterRef adapter;
  /// The newest version and the least one that may serve the request.
  AdapterRevision version;
  AdapterRevision least_version;
  std::uint32_t prompt_tokens = 0;
  int priority = 0;
  /// Empty if the request has none.
  TenantId tenant;
  /// How much time is left until the prompt has to be sent to be on time; not
  /// positive if it is late.
  DurationMs send_within{0};
  /// Requests at the node that wait for the adapter, and how soon it has to be
  /// loaded for the newest of them to be on time.
  std::uint32_t demand = 1;
  DurationMs ready_within{0};
  /// Asked as the adapter's home.
  bool as_home = false;
  /// Queue the prompt until it may be sent.
  bool enqueue = false;
};

/// Answers AskAdmission, or admits a prompt that was queued.
struct TellAdmission {
  std::uint64_t number = 0;
  AdmissionAnswer answer;
};

/// Tells an engine's holder that an admitted prompt was sent.
struct TellSent {
  AdmissionId id;
  EndpointId engine;
  std::uint32_t prompt_tokens = 0;
};

/// Tells the holder of some engines how the node uses them.
struct TellUse {
  NodeId node;
  EngineUse use;
  /// The node's requests to all engines.
  double requests_per_second = 0;
};

/// Passes on what a node has read from the store.
struct TellChanges {
  NodeId node;
  /// The changes are those after the first revision, up to and including the
  /// second one, that are news to other nodes.
  Revision after;
  Revision read;
  /// The era that both belong to.
  StoreEra era;
  /// Whether all of them are contained. If not, the receiver has to read them
  /// itself, and those contained tell which endpoints leave.
  bool complete = true;
  /// Whether the store has just been back after an outage: entries that are
  /// missing may still be registered again.
  bool after_outage = false;
  std::vector<StoreChange> changes;
};

/// Tells what a node has learned about what may crash endpoints.
struct TellCrashes {
  NodeId node;
  CrashNews news;
  /// Whether the node has just started and asks what is quarantined.
  bool asks = false;
};

using PeerMessage =
    std::variant<NodeStatus, AskLoad, TellQueued, TellLoaded, TellMissing,
                 TellPrompt, TellRetired, TellInUse, TellChanges, AskAdmission,
                 TellAdmission, TellSent, TellUse, TellCrashes, AskPermit,
                 TellPermit, TellLimit, TellLeaving, QuotaMessage>;

std::string EncodePeerMessage(const PeerMessage& message);

/// Returns nothing for a datagram that is no such message.
std::optional<PeerMessage> DecodePeerMessage(std::string_view datagram);

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_PROTOCOL_FLEET_PEER_MESSAGES_H_
