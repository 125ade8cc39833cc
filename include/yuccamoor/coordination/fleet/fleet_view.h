/// \file
/// \brief A node's view of its fleet, built from the store: configuration,
/// endpoints, published adapter versions, nodes and holders of engines.

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
#include "yuccamoor/coordination/fleet/revision_history.h"
#include "yuccamoor/coordination/fleet/route_table.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/fleet/node_settings.h"

namespace yuccamoor::fleet {

/// A node's record in the store.
struct NodeRecord {
  SocketAddress peer_address;
  /// The lease that the record and the node's holder records are bound to. A
  /// process that restarts on the same VM continues to use it.
  StoreLease lease;
  FailureDomainId domain;
};

/// Encodes a record as "ip:port lease domain", and decodes it. The port is zero
/// for text without a valid address.
std::string EncodeNodeRecord(const NodeRecord& record);
NodeRecord DecodeNodeRecord(std::string_view text);

/// Encodes fencing numbers as decimal numbers with spaces between them, and
/// decodes them. The text ends at the first thing that is none.
std::string EncodeFences(const std::set<Epoch>& fences);
std::set<Epoch> DecodeFences(std::string_view text);

/// Returns the fencing number of the holder whose record was written so. The
/// numbers of a later era are higher, although its revisions may be lower.
Epoch FencingNumber(StoreEra era, Revision revision);
/// Returns the era of the holder's record that the number was made of.
StoreEra EraOf(Epoch fence);

/// The node that may give orders to an engine.
struct HolderRecord {
  NodeId node;
  /// Fencing number of the holder's orders. Increases with every new holder.
  Epoch fence;
};

/// A record of the nodes that no lease ends.
struct SharedRecord {
  std::string value;
  Revision revision;
};

/// Returns the version of the adapter that the engine is known to hold; zero if
/// none is known.
AdapterRevision HeldRevision(const Endpoint& engine, const AdapterRef& adapter);

/// The effect of one change on the view, for logs.
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

/// Applies the store's changes in order. The configuration's version never
/// decreases: older configurations are ignored.
class FleetView {
 public:
  /// \p first_started is when this process started, if the settings say that
  /// the whole fleet starts for the first time.
  explicit FleetView(RevisionTimes revision_times = {},
                     std::optional<TimeMs> first_started = std::nullopt);

  /// Applies one change and returns its effect. \p written_from is the earliest
  /// time at which it may have been written; without it, the change is new.
  ViewUpdate Apply(StoreChange change, TimeMs now);
  ViewUpdate Apply(StoreChange change, TimeMs now, TimeMs written_from);
  /// Whether another node with the same view has to learn of the change, which
  /// is about to be applied. Endpoints write their entries again all the time;
  /// what they hold is reported by their holders. With which fencing numbers a
  /// node orders matters to its own next process only.
  bool IsNews(const StoreChange& change) const;
  /// Notes that the store came back with an older copy. A full read follows;
  /// endpoints that it lacks may still register again.
  void OnStoreRestored(TimeMs now);
  /// Replaces nodes, holders and endpoints by the result of a full read: those
  /// that it does not contain are removed. \p written_from is the earliest time
  /// at which anything unknown in it may have been written.
  void Reset(const std::vector<StoreChange>& changes, TimeMs now,
             TimeMs written_from);

  /// Notes that the view holds all that was in the store at \p as_of.
  void SetCurrentAt(TimeMs as_of) { m_current_at = as_of; }
  /// The last time whose content of the store the view is known to hold; empty
  /// before the first read.
  const std::optional<TimeMs>& current_at() const { return m_current_at; }

  /// The current routes; null before the first configuration.
  const std::shared_ptr<const RouteTable>& routes() const { return m_routes; }
  EndpointTable& endpoints() { return m_endpoints; }
  const EndpointTable& endpoints() const { return m_endpoints; }

  /// The newest published version of an adapter; zero if there is none.
  AdapterRevision NewestRevision(const AdapterRef& adapter) const;
  /// How long the newest version has been known; zero if there is none.
  DurationMs NewestRevisionAge(const AdapterRef& adapter, TimeMs now) const;
  /// The least version to which requests may be sent; zero if any may serve.
  /// Each version serves on for a while after its own successor became known,
  /// until engines hold that one.
  AdapterRevision LeastRevision(const AdapterRef& adapter, TimeMs now) const;
  /// The least version on which requests that were sent may still begin.
  AdapterRevision LeastRevisionToBegin(const AdapterRef& adapter,
                                       TimeMs now) const;
  /// Whether the version of the adapter that the engine is known to hold may
  /// still be sent requests. Base models have no versions here.
  bool ServesRequests(const Endpoint& engine, const AdapterRef& adapter,
                      TimeMs now) const;

  const std::map<NodeId, NodeRecord>& nodes() const { return m_nodes; }
  const std::map<EndpointId, HolderRecord>& holders() const {
    return m_holders;
  }
  /// Fencing numbers with which the node has said that it has begun to order.
  /// A copy from which the store was restored raises those of the holders'
  /// records, and not these: what is said here counts for the records that
  /// stood then, not for their copies. Statements of other nodes than one's own
  /// may be missing.
  std::set<Epoch> OrderingFences(const NodeId& node) const;
  std::set<NodeId> NodeIds() const;
  /// Nodes whose records have gone a short time before the last moment that the
  /// view holds: their leases have run out, or the store was restored from a
  /// copy without them. They may live, and register again unseen.
  std::set<NodeId> NodesGoneLately() const;
  std::map<EndpointId, NodeId> HolderIds() const;
  /// Engines to which no node can have given orders: this view saw each
  /// register, some time after changes that it may have missed, and has never
  /// seen a holder of it.
  const std::set<EndpointId>& NeverHeldEngines() const {
    return m_never_held_engines;
  }
  bool WasNeverHeld(const EndpointId& engine) const {
    return m_never_held_engines.contains(engine);
  }
  /// Engines that may be given orders: registered, not leaving, and of a
  /// service whose endpoints are engines.
  std::vector<EndpointId> Engines() const;
  /// The service's engine specification; null if the service is unknown or has
  /// no engines.
  const EngineSpec* EngineOf(const ServiceId& service) const;

  /// Keys of the records, relative to the fleet's prefix in the store.
  static std::string NodeKey(const NodeId& node);
  static std::string HolderKey(const EndpointId& engine);
  static std::string OrderingKey(const NodeId& node);
  static std::string SharedKey(const std::string& name);
  /// Returns the lasting record of that name; one with revision zero and an
  /// empty value if there is none.
  SharedRecord FindShared(const std::string& name) const;

 private:
  AdapterRevision LeastRevisionAt(const AdapterRef& adapter, TimeMs now,
                                  DurationMs ago) const;
  // Whether a full read at \p now shows all holders there have been.
  bool ShowsAllHolders(TimeMs now) const;

  void NoteNodeGone(const NodeId& node, TimeMs now);
  ViewUpdate ApplyChange(ConfigWritten change, TimeMs now);
  ViewUpdate ApplyChange(const AdapterRevisionPublished& change,
                         TimeMs written_from);
  ViewUpdate ApplyChange(EndpointWritten change, TimeMs now);
  ViewUpdate ApplyChange(const EndpointRemoved& change, TimeMs now);
  ViewUpdate ApplyChange(const RecordWritten& change, TimeMs now);
  ViewUpdate ApplyChange(const RecordRemoved& change, TimeMs now);

  std::optional<TimeMs> m_current_at;
  std::shared_ptr<const RouteTable> m_routes;
  EndpointTable m_endpoints;
  RevisionTimes m_revision_times;
  std::map<AdapterRef, RevisionHistory> m_revisions;
  std::map<NodeId, NodeRecord> m_nodes;
  // When the records of other nodes went.
  std::map<NodeId, TimeMs> m_nodes_gone;
  std::map<EndpointId, HolderRecord> m_holders;
  std::map<NodeId, std::set<Epoch>> m_ordering;
  std::map<std::string, SharedRecord> m_shared;
  std::set<EndpointId> m_never_held_engines;
  std::optional<TimeMs> m_first_started;
  bool m_was_read = false;
  // Engines that register before may have had a holder that was missed.
  TimeMs m_never_held_from;
  // Engines of which a holder was seen, also if they or it have gone since.
  std::set<EndpointId> m_once_held_engines;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_FLEET_VIEW_H_
