/// \file
/// \brief The endpoints that may receive requests: their entries in the store,
/// and what this node has observed of each.

#ifndef YUCCAMOOR_COORDINATION_FLEET_ENDPOINT_TABLE_H_
#define YUCCAMOOR_COORDINATION_FLEET_ENDPOINT_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "yuccamoor/coordination/fleet/endpoint_intake.h"
#include "yuccamoor/coordination/request/circuit_breaker.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/fleet/endpoint_entry.h"

namespace yuccamoor::fleet {

/// An endpoint and its state as observed by this node.
struct Endpoint {
  explicit Endpoint(EndpointEntry listed);

  EndpointEntry entry;
  /// Whether the endpoint announced, in the store or in a response, that it is
  /// leaving.
  bool leaving = false;
  /// Set while the entry is missing after a store outage: the endpoint is
  /// dropped unless it registers again by then.
  std::optional<TimeMs> reregister_deadline;
  /// This node's requests in flight.
  std::uint32_t in_flight = 0;
  /// The other nodes' requests in flight, as last reported by them.
  std::uint32_t peers_in_flight = 0;
  /// End of the backoff after a failed connection attempt. The endpoint is not
  /// used before.
  TimeMs unreachable_until;
  std::uint32_t connect_failures = 0;
  /// The adapters held: from the holder's status while that is fresh, otherwise
  /// from the entry.
  AdapterSet adapters;
  /// When the holder's status last reported the adapters.
  TimeMs adapters_reported_at;
  /// The estimated time at which all prompts sent to it are prefilled.
  TimeMs prefill_until;
  CircuitBreaker breaker;
  EndpointIntake intake;

  std::uint32_t load() const { return in_flight + peers_in_flight; }
  bool HasModel(const ModelId& model) const;
};

/// All known endpoints. Entries that are missing right after a store outage are
/// kept for a grace period, as their owners may not have registered again yet.
class EndpointTable {
 public:
  using Map = std::map<EndpointId, Endpoint>;

  /// Whether the entry names the endpoint's process. One without a start does
  /// so only if no entry of the endpoint has stated one.
  bool NamesProcess(const EndpointEntry& entry) const;
  /// Adds or updates an entry that names a process. Returns whether the
  /// endpoint is new or restarted.
  bool Put(EndpointEntry entry, TimeMs now);
  /// Removes an entry, or sets its re-registration deadline if the store has
  /// just recovered from an outage.
  void Remove(const EndpointId& id, TimeMs now);
  /// Removes every endpoint that is not listed in a full snapshot of the store.
  void RetainOnly(const std::vector<EndpointId>& listed, TimeMs now);
  /// Starts the grace period for re-registration after a store outage.
  void OnStoreRecovered(TimeMs now);
  /// Drops endpoints whose re-registration deadline has passed.
  void Expire(TimeMs now);

  /// Records that an endpoint's process announced that it is leaving, listed or
  /// not, also before its entry is known. Returns whether that is news.
  bool MarkLeaving(const EndpointProcess& process, TimeMs now);
  /// Starts or extends the backoff after a failed connection attempt.
  void OnConnectFailed(const EndpointId& id, TimeMs now);
  /// Clears the connection backoff.
  void OnConnected(const EndpointId& id);
  /// Updates the adapters as reported by the endpoint's holder. Returns whether
  /// they changed.
  bool SetAdapters(const EndpointId& id, const AdapterSet& adapters,
                   TimeMs now);

  /// Returns the endpoint, or nullptr if it is unknown.
  Endpoint* Find(const EndpointId& id);
  const Endpoint* Find(const EndpointId& id) const;
  Map& all() { return m_endpoints; }
  const Map& all() const { return m_endpoints; }

  /// Whether the endpoint may receive new requests: it is not leaving, and not
  /// in connection backoff.
  static bool Usable(const Endpoint& endpoint, TimeMs now);

 private:
  // What a process has said of itself, for entries of it that come later.
  struct Remembered {
    bool leaving = false;
    EndpointIntake intake;
    TimeMs until;
  };

  void Remember(const Endpoint& endpoint, TimeMs now);
  // Returns the endpoint with what is remembered of its process.
  Endpoint Recall(EndpointEntry entry) const;
  void Erase(Map::iterator endpoint, TimeMs now);

  Map m_endpoints;
  // Processes that are not listed, any more or yet.
  std::map<EndpointProcess, Remembered> m_removed;
  std::optional<TimeMs> m_reregister_deadline;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_ENDPOINT_TABLE_H_
