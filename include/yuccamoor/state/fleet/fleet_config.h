/// \file
/// \brief The configuration that a fleet of nodes serves: routes, services and
/// limits, as plain data.

#ifndef YUCCAMOOR_STATE_FLEET_FLEET_CONFIG_H_
#define YUCCAMOOR_STATE_FLEET_FLEET_CONFIG_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor::fleet {

/// What may be repeated.
enum class RequestKind : std::uint8_t {
  /// Idempotent: may run more than once.
  kSafe,
  /// Runs at most once.
  kUnsafe,
  /// A stream of events; runs at most once unless it can be resumed.
  kStream,
};

/// A service's share of a route's requests.
struct TrafficShare {
  ServiceId service;
  std::uint32_t weight = 1;
};

/// One route. The longest prefix of a host that begins a path wins.
struct RouteSpec {
  std::string name;
  std::string host;
  std::string prefix;
  RequestKind kind = RequestKind::kUnsafe;
  /// The longest time that a request may stay without a final answer.
  DurationMs timeout{0};
  /// The latency latency_objective: to the whole answer, or to the first event.
  DurationMs latency_objective{0};
  /// The longest pause between a stream's events that is not late; zero if
  /// pauses do not matter.
  DurationMs max_event_gap{0};
  /// How long clients wait for the first event of a stream.
  DurationMs first_event_timeout{0};
  /// 0 is the most urgent.
  int priority = 0;
  std::uint32_t max_attempts = 1;
  /// Whether a stream can be continued at another endpoint.
  bool resumable = false;
  std::vector<TrafficShare> shares;
};

/// One base model of an engine service.
struct ModelSpec {
  ModelId model;
  /// Loading time of the weights from the weight store.
  DurationMs load_time{0};
};

/// How a service's model engines are built.
struct EngineSpec {
  std::uint32_t batch_slots = 0;
  /// Adapters that one engine holds at once, loading ones included.
  std::uint32_t adapter_slots = 0;
  std::vector<ModelSpec> models;
  /// Models that the weight store serves a second; zero if it does not say.
  double models_per_second = 0;
};

/// One service.
struct ServiceSpec {
  ServiceId service;
  /// Set for services whose endpoints are model engines.
  std::optional<EngineSpec> engine;
};

/// Bounds on what a client may send.
struct RequestLimits {
  std::size_t max_header_bytes = 16'384;
  std::size_t max_body_bytes = 4'194'304;
  /// The longest time that a request's header may take to arrive.
  DurationMs header_timeout{10'000};
  /// The longest time that a connection may stay without a request.
  DurationMs idle_timeout{60'000};
};

/// One version of the whole configuration.
struct FleetConfig {
  Revision version;
  std::vector<RouteSpec> routes;
  std::map<ServiceId, ServiceSpec> services;
  RequestLimits limits;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_STATE_FLEET_FLEET_CONFIG_H_
