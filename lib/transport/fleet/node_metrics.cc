#include "yuccamoor/transport/fleet/node_metrics.h"

namespace yuccamoor::fleet {

NodeMetrics::NodeMetrics(MetricsRegistry& r)
    : answered(r.GetCounter("yuccamoor_requests_answered_total",
                            "Requests answered with an endpoint's response")),
      refused(r.GetCounter("yuccamoor_requests_refused_total",
                           "Requests refused as not run")),
      failed(r.GetCounter("yuccamoor_requests_failed_total",
                          "Requests whose outcome is unknown or cut")),
      client_gone(r.GetCounter("yuccamoor_clients_gone_total",
                               "Clients that left before their answer")),
      retries(r.GetCounter("yuccamoor_retries_total",
                           "Requests sent to an endpoint once more")),
      stream_events(r.GetCounter("yuccamoor_stream_events_total",
                                 "Events passed on to clients")),
      streams_resumed(r.GetCounter("yuccamoor_streams_resumed_total",
                                   "Streams continued at another engine")),
      older_versions_begun(
          r.GetCounter("yuccamoor_older_versions_begun_total",
                       "Requests begun on an adapter version that was not the "
                       "newest one")),
      quarantined_requests_refused(
          r.GetCounter("yuccamoor_quarantined_requests_refused_total",
                       "Requests refused as they crash endpoints")),
      suspects_quarantined(
          r.GetCounter("yuccamoor_suspects_quarantined_total",
                       "Requests and parts of prompts that crash endpoints")),
      permits_refused(
          r.GetCounter("yuccamoor_permits_refused_total",
                       "Requests kept from an endpoint by its limit")),
      over_quota(r.GetCounter("yuccamoor_over_quota_total",
                              "Requests refused by their tenant's limit")),
      quota_unanswered(
          r.GetCounter("yuccamoor_quota_unanswered_total",
                       "Requests refused as no node answered on the limit")),
      closed_for_descriptors(
          r.GetCounter("yuccamoor_connections_closed_for_descriptors_total",
                       "Connections closed as there were too many")),
      closed_for_memory(
          r.GetCounter("yuccamoor_connections_closed_for_memory_total",
                       "Connections closed as messages took up too much")),
      orders(r.GetCounter("yuccamoor_engine_orders_total",
                          "Orders given to engines")),
      order_conflicts(r.GetCounter("yuccamoor_engine_order_conflicts_total",
                                   "Orders that an engine did not take")),
      store_calls(
          r.GetCounter("yuccamoor_store_calls_total", "Calls to the store")),
      store_failures(r.GetCounter("yuccamoor_store_failures_total",
                                  "Calls to the store without success")),
      peer_messages_dropped(
          r.GetCounter("yuccamoor_peer_messages_dropped_total",
                       "Datagrams that were no message of a node")),
      log_lines_dropped(r.GetCounter("yuccamoor_log_lines_dropped_total",
                                     "Log lines left out")),
      first_answer_seconds(
          r.GetDistribution("yuccamoor_first_answer_seconds",
                            "Time to the first event or the whole answer")),
      load_stall_seconds(
          r.GetDistribution("yuccamoor_load_stall_seconds",
                            "Time that requests waited for an adapter")),
      config_version(r.GetGauge("yuccamoor_config_version",
                                "Version of the configuration in force")),
      quota_share(r.GetGauge("yuccamoor_quota_share",
                             "Part of each quota that this node has")),
      engines_held(r.GetGauge("yuccamoor_engines_held",
                              "Engines that this node gives orders to")),
      requests_in_flight(r.GetGauge("yuccamoor_requests_in_flight",
                                    "Requests that have not ended")),
      client_connections(
          r.GetGauge("yuccamoor_client_connections", "Connections of clients")),
      kept_bytes(r.GetGauge("yuccamoor_kept_bytes",
                            "Bytes kept for messages that have not ended")) {}

}  // namespace yuccamoor::fleet
