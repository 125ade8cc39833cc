/// \file
/// \brief The exporter that posts spans to an OTLP collector over HTTP.

#ifndef YUCCAMOOR_TRANSPORT_OBSERVABILITY_COLLECTOR_SPAN_EXPORTER_H_
#define YUCCAMOOR_TRANSPORT_OBSERVABILITY_COLLECTOR_SPAN_EXPORTER_H_

#include <cstddef>
#include <memory>
#include <string>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/transport/observability/tracer.h"

namespace yuccamoor {

class HttpClient;
class WorkerPool;

/// Where spans go, and how many wait.
struct SpanCollectorOptions {
  /// The service.name of the spans.
  std::string service;
  /// The collector, as "ip:port"; spans are posted to its /v1/traces.
  std::string address;
  /// Spans that wait to be sent; more are dropped.
  std::size_t queue_limit = 10'000;
  /// Spans in one request.
  std::size_t batch_limit = 512;
  /// How long spans are gathered before they are sent.
  DurationMs gather_time{50};
  /// For one request to the collector.
  DurationMs timeout{2'000};
  /// The pause after a request that failed.
  DurationMs retry_interval{1'000};
};

/// Makes an exporter that sends batches from the pool's threads, one request at
/// a time. A batch that the collector does not accept is dropped and counted:
/// it may have been taken, and a span must not appear twice. The client must
/// outlive the exporter, and the pool must have stopped before it goes.
std::unique_ptr<SpanExporter> MakeCollectorSpanExporter(
    const SpanCollectorOptions& options, WorkerPool& pool, HttpClient& client);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_OBSERVABILITY_COLLECTOR_SPAN_EXPORTER_H_
