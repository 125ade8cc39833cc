/// \file
/// \brief Implementation of the daemons' telemetry.

#include "yuccamoor/transport/daemon/telemetry.h"

#include <utility>

#include "yuccamoor/transport/observability/log_event.h"

namespace yuccamoor {
namespace {

constexpr double kSampledShare = 1;
constexpr double kMsPerSecond = 1'000;

double ToSeconds(DurationMs duration) {
  return static_cast<double>(duration.ms()) / kMsPerSecond;
}

}  // namespace

Telemetry::Telemetry(const Clock& clock, std::unique_ptr<SpanExporter> exporter)
    : m_clock(clock),
      m_exporter(std::move(exporter)),
      m_metrics(clock),
      m_serving(m_metrics),
      m_tracer(m_exporter.get(), kSampledShare) {
  if (!m_exporter) return;
  Counter& dropped = m_metrics.GetCounter("yuccamoor_spans_dropped_total",
                                          "Spans that could not be written.");
  m_metrics.OnRender([this, &dropped] {
    dropped.Add(m_exporter->dropped() - dropped.value());
  });
}

RequestScope::RequestScope(Telemetry& telemetry, std::string_view name,
                           RequestId id, std::string_view traceparent)
    : m_telemetry(telemetry),
      m_start(telemetry.clock().Now()),
      m_span(telemetry.tracer().Start(std::string(name), SpanKind::kServer,
                                      ParseTraceparent(traceparent))) {
  m_record.id = std::move(id);
  m_span.Attribute("request.id", m_record.id);
}

Span RequestScope::StartSpan(std::string name, SpanKind kind) const {
  return m_telemetry.tracer().Start(std::move(name), kind, m_span.context());
}

void RequestScope::End(Outcome outcome, int status, std::string error) {
  m_record.outcome = outcome;
  m_record.status = status;
  m_record.error = std::move(error);
}

void RequestScope::OnFirstToken() {
  if (std::exchange(m_first_token_seen, true)) return;
  m_telemetry.serving().first_token_seconds.Observe(
      ToSeconds(m_telemetry.clock().Now() - m_start));
}

void RequestScope::OnWaited(DurationMs time) {
  m_waited = true;
  m_record.waited = m_record.waited + time;
}

RequestScope::~RequestScope() {
  ServingMetrics& serving = m_telemetry.serving();
  m_record.duration = m_telemetry.clock().Now() - m_start;
  if (m_waited) serving.load_stall_seconds.Observe(ToSeconds(m_record.waited));
  switch (m_record.outcome) {
    case Outcome::kAnswered:
      serving.answered.Add();
      break;
    case Outcome::kNotRun:
      serving.not_run.Add();
      break;
    case Outcome::kUnknown:
      serving.outcome_unknown.Add();
      break;
  }
  m_span.Attribute("outcome", OutcomeName(m_record.outcome));
  m_span.Attribute("target", m_record.target);
  if (!m_record.error.empty()) m_span.Fail(m_record.error);
  LogEvent("request_ended")
      .Field("request", m_record.id)
      .Field("trace", m_span.context().trace)
      .Field("target", m_record.target)
      .Field("outcome", OutcomeName(m_record.outcome))
      .Field("status", m_record.status)
      .Field("waited_ms", m_record.waited.ms())
      .Field("duration_ms", m_record.duration.ms())
      .Field("attempts", m_record.attempts.size())
      .Field("error", m_record.error);
  m_telemetry.requests().Add(std::move(m_record));
}

}  // namespace yuccamoor
