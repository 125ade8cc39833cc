/// \file
/// \brief The metrics of a node.

#ifndef YUCCAMOOR_TRANSPORT_FLEET_NODE_METRICS_H_
#define YUCCAMOOR_TRANSPORT_FLEET_NODE_METRICS_H_

#include "yuccamoor/transport/observability/metrics.h"

namespace yuccamoor::fleet {

/// The series of one node, made together so that their names stand in one
/// place.
struct NodeMetrics {
  explicit NodeMetrics(MetricsRegistry& registry);

  Counter& answered;
  Counter& refused;
  Counter& failed;
  Counter& client_gone;
  Counter& retries;
  Counter& stream_events;
  Counter& streams_resumed;
  /// Requests that began on a version of their adapter that was not the newest.
  Counter& older_versions_begun;
  /// Requests refused, and parts found, because of prompts that crash engines.
  Counter& quarantined_requests_refused;
  Counter& suspects_quarantined;
  /// Permits that requests to endpoints with a limit asked for in vain.
  Counter& permits_refused;
  /// Requests refused as their tenant is at its limit, and those for which no
  /// node said whether it is.
  Counter& over_quota;
  Counter& quota_unanswered;
  /// Connections of clients that were closed for the sake of others.
  Counter& closed_for_descriptors;
  Counter& closed_for_memory;
  Counter& orders;
  Counter& order_conflicts;
  Counter& store_calls;
  Counter& store_failures;
  Counter& peer_messages_dropped;
  Counter& log_lines_dropped;
  /// From a request's arrival to its first event or whole answer.
  Distribution& first_answer_seconds;
  /// Time that requests waited for an adapter to come into place.
  Distribution& load_stall_seconds;
  Gauge& config_version;
  /// The part of each tenant's quota that this node may spend or lend.
  Gauge& quota_share;
  Gauge& engines_held;
  Gauge& requests_in_flight;
  Gauge& client_connections;
  /// What is kept for messages that have not ended.
  Gauge& kept_bytes;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_TRANSPORT_FLEET_NODE_METRICS_H_
