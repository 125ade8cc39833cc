/// \file
/// \brief The endpoints that may get requests: what the store lists, and what
/// this node has seen of each.

#ifndef YUCCAMOOR_COORDINATION_FLEET_ENDPOINT_TABLE_H_
#define YUCCAMOOR_COORDINATION_FLEET_ENDPOINT_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "yuccamoor/coordination/request/circuit_breaker.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/fleet/endpoint_entry.h"

namespace yuccamoor::fleet {

/// One endpoint as this node sees it.
struct Endpoint {
  explicit Endpoint(EndpointEntry listed);

  EndpointEntry entry;
  /// Whether it said, by the store or in an answer, that it is leaving.
  bool leaving = false;
  /// Set while the entry is missing after an outage of the store.
  std::optional<TimeMs> reregister_deadline;
  /// Requests of this node that have not ended.
  std::uint32_t in_flight = 0;
  /// Requests of the other nodes, as they last said.
  std::uint32_t peers_in_flight = 0;
  /// No new connection could be made: not used until then.
  TimeMs unreachable_until;
  std::uint32_t connect_failures = 0;
  /// Adapters held, from the holder's status while that is fresh, else from
  /// the entry.
  AdapterSet adapters;
  TimeMs adapters_reported_at;
  /// When the prompts that were sent to it will have been prefilled.
  TimeMs prefill_until;
  CircuitBreaker breaker;

  std::uint32_t load() const { return in_flight + peers_in_flight; }
  bool HasModel(const ModelId& model) const;
};

/// All endpoints. Missing entries right after an outage of the store are kept
/// for a while, as their owners may not have registered again yet.
class EndpointTable {
 public:
  using Map = std::map<EndpointId, Endpoint>;

  /// Takes a written entry. Returns whether the endpoint is new or restarted.
  bool Put(EndpointEntry entry, TimeMs now);
  /// Takes the removal of an entry.
  void Remove(const EndpointId& id, TimeMs now);
  /// Drops every endpoint that a whole reading of the store did not show.
  void RetainOnly(const std::vector<EndpointId>& listed, TimeMs now);
  /// Notes that the store answers again after an outage.
  void OnStoreRecovered(TimeMs now);
  /// Drops endpoints whose time to register again has passed.
  void Expire(TimeMs now);

  /// Notes that the endpoint said it is leaving.
  void MarkLeaving(const EndpointId& id);
  /// Notes that no connection to the endpoint could be made.
  void OnConnectFailed(const EndpointId& id, TimeMs now);
  void OnConnected(const EndpointId& id);
  /// Takes the adapters that the endpoint's holder says it holds. Returns
  /// whether they differ from those known before.
  bool SetAdapters(const EndpointId& id, const AdapterSet& adapters,
                   TimeMs now);

  Endpoint* Find(const EndpointId& id);
  const Endpoint* Find(const EndpointId& id) const;
  Map& all() { return m_endpoints; }
  const Map& all() const { return m_endpoints; }

  /// Whether new requests may go there.
  static bool Usable(const Endpoint& endpoint, TimeMs now);

 private:
  Map m_endpoints;
  std::optional<TimeMs> m_reregister_deadline;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_ENDPOINT_TABLE_H_
