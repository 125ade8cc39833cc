/// \file
/// \brief The configuration of a fleet of nodes: routes, services and request
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

/// Whether a request may be retried.
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

/// One route. Among the routes of a host, the longest prefix that matches the
/// path is selected.
struct RouteSpec {
  std::string name;
  std::string host;
  std::string prefix;
  RequestKind kind = RequestKind::kUnsafe;
  /// The maximum time from a request to its complete response.
  DurationMs timeout{0};
  /// The latency objective: time to the complete response, or for streams to
  /// the first event.
  DurationMs latency_objective{0};
  /// The maximum gap between a stream's events that still meets the objective;
  /// zero if gaps do not matter.
  DurationMs max_event_gap{0};
  /// How long clients wait for the first event of a stream before they give up.
  DurationMs first_event_timeout{0};
  /// 0 is the most urgent.
  int priority = 0;
  std::uint32_t max_attempts = 1;
  /// Whether an interrupted stream can be resumed at another endpoint.
  bool resumable = false;
  /// Whether requests need no tenant's key.
  bool is_public = false;
  std::vector<TrafficShare> shares;
};

/// One base model of an engine service.
struct ModelSpec {
  ModelId model;
  /// Time to load the weights from the weight store.
  DurationMs load_time{0};
};

/// Capacities and models of a service's model engines.
struct EngineSpec {
  std::uint32_t batch_slots = 0;
  /// Maximum number of adapters on one engine at a time, including those being
  /// loaded.
  std::uint32_t adapter_slots = 0;
  std::vector<ModelSpec> models;
  /// Models per second that the weight store can serve; zero if unknown.
  double models_per_second = 0;
};

struct ServiceSpec {
  ServiceId service;
  /// Set for services whose endpoints are model engines.
  std::optional<EngineSpec> engine;
};

/// What a quota counts.
enum class QuotaUnit : std::uint8_t { kRequests, kTokens };

/// The rate limit of one tenant over all nodes together.
struct QuotaSpec {
  QuotaUnit unit = QuotaUnit::kRequests;
  /// In units per second; zero sets no limit.
  double rate_per_second = 0;
  /// Units that may be saved up while fewer are used.
  double burst = 0;
  /// The tokens that a request counts which states none.
  std::uint32_t plain_tokens = 0;

  bool is_limited() const { return rate_per_second > 0; }
  friend bool operator==(const QuotaSpec&, const QuotaSpec&) = default;
};

/// One tenant.
struct TenantSpec {
  TenantId tenant;
  /// Each names this tenant. Secret: never logged nor passed on.
  std::vector<std::string> keys;
  /// Precedes the route's priority; 0 is the most urgent.
  std::optional<int> priority;
  QuotaSpec quota;
};

/// Bounds on what a client may send.
struct RequestLimits {
  std::size_t max_header_bytes = 16'384;
  std::size_t max_body_bytes = 4'194'304;
  /// The maximum time for a request's header to arrive.
  DurationMs header_timeout{10'000};
  /// The maximum time that a connection may be idle between requests.
  DurationMs idle_timeout{60'000};
};

/// One version of the whole configuration.
struct FleetConfig {
  Revision version;
  std::vector<RouteSpec> routes;
  std::map<ServiceId, ServiceSpec> services;
  /// Without tenants, requests need no key.
  std::vector<TenantSpec> tenants;
  RequestLimits limits;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_STATE_FLEET_FLEET_CONFIG_H_
