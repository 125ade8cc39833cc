/// \file
/// \brief Picks an endpoint of one plain service for each attempt.

#ifndef YUCCAMOOR_COORDINATION_REQUEST_ENDPOINT_SET_H_
#define YUCCAMOOR_COORDINATION_REQUEST_ENDPOINT_SET_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "yuccamoor/coordination/request/circuit_breaker.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/config_snapshot.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor {

class EndpointTracker;

/// The endpoints of one service at one gateway, with their circuits and the
/// attempts that run on each.
class EndpointSet {
 public:
  /// The tracker outlives the set.
  EndpointSet(const EndpointTracker& tracker, const CircuitOptions& options);

  /// Takes the endpoints of the configuration in force. Known ones keep their
  /// state.
  void OnConfig(const std::vector<EndpointConfig>& endpoints);

  /// Returns the endpoint with the fewest attempts whose VM is usable and whose
  /// circuit allows one, or null. Ones in \p tried come last. \p random,
  /// uniform in [0, 1), breaks ties.
  const EndpointConfig* Pick(const std::vector<EndpointId>& tried,
                             double random, TimeMs now) const;

  void OnStart(const EndpointId& id, TimeMs now);
  void OnEnd(const EndpointId& id, bool success, TimeMs now);
  /// The attempt ended without saying anything of the endpoint.
  void OnCancel(const EndpointId& id);

 private:
  struct Endpoint {
    EndpointConfig config;
    CircuitBreaker circuit;
    std::uint32_t running = 0;
  };

  const EndpointTracker& m_tracker;
  CircuitOptions m_options;
  std::map<EndpointId, Endpoint> m_endpoints;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_REQUEST_ENDPOINT_SET_H_
