/// \file
/// \brief What a node knows of its fleet from the store: the configuration,
/// endpoints, named adapter versions, nodes and holders of engines.

#ifndef YUCCAMOOR_COORDINATION_FLEET_FLEET_VIEW_H_
#define YUCCAMOOR_COORDINATION_FLEET_FLEET_VIEW_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "yuccamoor/coordination/fleet/endpoint_table.h"
#include "yuccamoor/coordination/fleet/fleet_store.h"
#include "yuccamoor/coordination/fleet/route_table.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/fleet/node_settings.h"

namespace yuccamoor::fleet {

/// A node's record.
struct NodeRecord {
  SocketAddress peer_address;
  /// The lease that the record and the node's claims are bound to. A process
  /// that starts again on the same VM goes on with it.
  StoreLease lease;
  FailureDomainId domain;
};

/// Writes "ip:port lease domain", and parses it.
std::string EncodeNodeRecord(const NodeRecord& record);
NodeRecord DecodeNodeRecord(std::string_view text);

/// Who may give orders to an engine.
struct HolderRecord {
  NodeId node;
  /// Rises with every new holder; the fencing number of its orders.
  Epoch fence;
};

/// What one change meant, for logs.
enum class ViewUpdate : std::uint8_t {
  kUnchanged,
  kConfigApplied,
  kConfigIgnored,
  kAdapterRevision,
  kEndpointAdded,
  kEndpointLeaving,
  kEndpointRemoved,
  kHolderChanged,
  kNodeChanged,
};

/// Applies the store's changes in order. A configuration's version never goes
/// back.
class FleetView {
 public:
  /// Takes one change and tells what it meant.
  ViewUpdate Apply(StoreChange change, TimeMs now);
  /// Takes a whole reading: what it does not show is gone.
  void Reset(const std::vector<StoreChange>& changes, TimeMs now);

  /// The routes in force; null before the first configuration.
  const std::shared_ptr<const RouteTable>& routes() const { return m_routes; }
  EndpointTable& endpoints() { return m_endpoints; }
  const EndpointTable& endpoints() const { return m_endpoints; }

  /// The newest version named of an adapter; zero if none was.
  AdapterRevision NewestRevision(const AdapterRef& adapter) const;
  /// Whether the newest version was named so recently that an older one may
  /// still answer.
  bool AcceptsOlderRevision(const AdapterRef& adapter, TimeMs now) const;

  const std::map<NodeId, NodeRecord>& nodes() const { return m_nodes; }
  const std::map<EndpointId, HolderRecord>& holders() const {
    return m_holders;
  }
  std::set<NodeId> NodeIds() const;
  std::map<EndpointId, NodeId> HolderIds() const;
  /// Engines that no node can have ordered: each was seen to register, and no
  /// holder of it since.
  const std::set<EndpointId>& NeverHeld() const { return m_never_held; }
  bool NeverHeld(const EndpointId& engine) const {
    return m_never_held.contains(engine);
  }
  /// Engines that may be ordered: listed, of a service with engines.
  std::vector<EndpointId> Engines() const;
  const EngineSpec* EngineOf(const ServiceId& service) const;

  /// Keys of the records, below the fleet's own prefix.
  static std::string NodeKey(const NodeId& node);
  static std::string HolderKey(const EndpointId& engine);

 private:
  struct KnownRevision {
    AdapterRevision revision;
    TimeMs learned_at;
  };

  ViewUpdate ApplyChange(ConfigWritten change, TimeMs now);
  ViewUpdate ApplyChange(const AdapterRevisionPublished& change, TimeMs now);
  ViewUpdate ApplyChange(EndpointWritten change, TimeMs now);
  ViewUpdate ApplyChange(const EndpointRemoved& change, TimeMs now);
  ViewUpdate ApplyChange(const RecordWritten& change, TimeMs now);
  ViewUpdate ApplyChange(const RecordRemoved& change, TimeMs now);

  std::shared_ptr<const RouteTable> m_routes;
  EndpointTable m_endpoints;
  std::map<AdapterRef, KnownRevision> m_revisions;
  std::map<NodeId, NodeRecord> m_nodes;
  std::map<EndpointId, HolderRecord> m_holders;
  std::set<EndpointId> m_never_held;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_FLEET_VIEW_H_
