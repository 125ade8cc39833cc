/// \file
/// \brief Selects the endpoint for a request, or the engines that should load
/// the request's adapter.

#ifndef YUCCAMOOR_COORDINATION_FLEET_ENDPOINT_CHOICE_H_
#define YUCCAMOOR_COORDINATION_FLEET_ENDPOINT_CHOICE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "yuccamoor/coordination/fleet/endpoint_table.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/fleet/endpoint_entry.h"

namespace yuccamoor::fleet {

/// The requirements of a request on its endpoint.
struct EndpointQuery {
  ServiceId service;
  /// Set for requests to model engines.
  std::optional<AdapterRef> adapter;
  /// The adapter's newest version, which engines should hold; zero for any.
  AdapterRevision version;
  /// The least version that may serve the request. Below the newest one for a
  /// while after a version became known.
  AdapterRevision least_version;
  /// The number of engines that should hold the adapter.
  std::uint32_t copies = 1;
  /// The client's failure domain. Plain endpoints there are preferred at
  /// similar load.
  FailureDomainId domain;
  /// Endpoints that have already failed this request.
  std::vector<EndpointId> excluded;
  /// If no engine that takes requests now holds the adapter, one that takes the
  /// next one by then is chosen before the adapter is loaded elsewhere.
  TimeMs wait_until;
  /// Differs between requests. If set, plain endpoints with nearly the same
  /// load are chosen at random: nodes that know little of each other's requests
  /// would otherwise all choose the same one.
  std::optional<std::uint64_t> spread;
};

/// The result of ChooseEndpoint.
struct EndpointChoice {
  /// The endpoint to send the request to; empty if there is none. It may take
  /// the request a little later only.
  std::optional<EndpointId> send_to;
  /// Engines that should load the adapter, best first; empty if no load is
  /// needed. If send_to is set too, the load adds a copy.
  std::vector<EndpointId> load_candidates;
  /// Whether the service has any usable endpoint that is not excluded.
  bool any_usable = false;
};

/// Selects among the endpoints of the query's service. The request goes to the
/// least loaded engine that holds the adapter. If none holds it, rendezvous
/// hashing ranks the engines that may load it, so that all nodes agree without
/// exchanging messages. An adapter with fewer than query.copies copies gets one
/// more. Returns an empty choice if no endpoint is usable.
EndpointChoice ChooseEndpoint(const EndpointTable& table,
                              const EndpointQuery& query, TimeMs now);

/// Returns the usable engines that have the base model of the query's adapter,
/// in rendezvous order of the adapter. Nodes with the same view agree on it.
std::vector<EndpointId> RankByRendezvous(const EndpointTable& table,
                                         const EndpointQuery& query,
                                         TimeMs now);

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_ENDPOINT_CHOICE_H_
