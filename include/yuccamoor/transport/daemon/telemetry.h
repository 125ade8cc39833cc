/// \file
/// \brief A daemon's metrics, traces and request log, and the scope of one
/// request that feeds all three.

#ifndef YUCCAMOOR_TRANSPORT_DAEMON_TELEMETRY_H_
#define YUCCAMOOR_TRANSPORT_DAEMON_TELEMETRY_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/transport/daemon/request_log.h"
#include "yuccamoor/transport/observability/metrics.h"
#include "yuccamoor/transport/observability/tracer.h"

namespace yuccamoor {

/// All of a daemon's telemetry. Safe to use from several threads.
class Telemetry {
 public:
  /// Without an exporter no spans are recorded. The clock must outlive the
  /// telemetry.
  Telemetry(const Clock& clock, std::unique_ptr<SpanExporter> exporter);

  MetricsRegistry& metrics() { return m_metrics; }
  ServingMetrics& serving() { return m_serving; }
  RequestLog& requests() { return m_requests; }
  const Tracer& tracer() const { return m_tracer; }
  const Clock& clock() const { return m_clock; }

 private:
  const Clock& m_clock;
  std::unique_ptr<SpanExporter> m_exporter;
  MetricsRegistry m_metrics;
  ServingMetrics m_serving;
  Tracer m_tracer;
  RequestLog m_requests;
};

/// One request from its arrival to its end: holds its span and its record, and
/// reports both, with metrics and a log line, when it goes. Used by one thread
/// at a time.
class RequestScope {
 public:
  /// \p traceparent is the caller's header, or empty.
  RequestScope(Telemetry& telemetry, std::string_view name, RequestId id,
               std::string_view traceparent);
  ~RequestScope();
  RequestScope(const RequestScope&) = delete;
  RequestScope& operator=(const RequestScope&) = delete;

  RequestRecord& record() { return m_record; }
  /// Starts a span below the request's own.
  Span StartSpan(std::string name, SpanKind kind) const;
  /// Notes how the request ended.
  void End(Outcome outcome, int status, std::string error);
  /// Notes that the first token has come.
  void OnFirstToken();
  /// Notes that the request waited for its adapter; only requests to workers
  /// count in the load stalls.
  void OnWaited(DurationMs time);

 private:
  Telemetry& m_telemetry;
  TimeMs m_start;
  bool m_waited = false;
  bool m_first_token_seen = false;
  RequestRecord m_record;
  Span m_span;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_DAEMON_TELEMETRY_H_
