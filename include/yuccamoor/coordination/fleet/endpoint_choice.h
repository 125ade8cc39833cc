/// \file
/// \brief Chooses the endpoint of a request, or the engine that should load
/// its adapter.

#ifndef YUCCAMOOR_COORDINATION_FLEET_ENDPOINT_CHOICE_H_
#define YUCCAMOOR_COORDINATION_FLEET_ENDPOINT_CHOICE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "yuccamoor/coordination/fleet/endpoint_table.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/fleet/endpoint_entry.h"

namespace yuccamoor::fleet {

/// What is asked of an endpoint.
struct EndpointQuery {
  ServiceId service;
  /// Set for requests to model engines.
  std::optional<AdapterRef> adapter;
  /// The version that an answer must have; zero if any will do.
  AdapterRevision version;
  /// An older version is accepted while the newer one is in place nowhere.
  bool accept_older_version = false;
  /// Engines that should hold the adapter.
  std::uint32_t copies = 1;
  /// The client's failure domain, preferred where loads are alike.
  FailureDomainId domain;
  /// Endpoints that have failed this request.
  std::vector<EndpointId> excluded;
};

/// The outcome of a choice.
struct EndpointChoice {
  /// Where to send the request now.
  std::optional<EndpointId> send_to;
  /// Where the adapter should be loaded, best first; one more copy if send_to
  /// is set.
  std::vector<EndpointId> load_candidates;
  /// Whether any endpoint of the service is usable.
  bool any_usable = false;
};

/// Chooses among the endpoints of the query's service. Engines that hold the
/// adapter come first, the least loaded of them; without one, the adapter's
/// place is taken by rendezvous hashing, so that all nodes agree without a
/// message. An adapter with fewer copies than wanted gets one more.
EndpointChoice ChooseEndpoint(const EndpointTable& table,
                              const EndpointQuery& query, TimeMs now);

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_ENDPOINT_CHOICE_H_
