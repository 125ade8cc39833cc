/// \file
/// \brief Spans and the tracer.

#include "yuccamoor/transport/observability/tracer.h"

#include <chrono>

#include "yuccamoor/protocol/json.h"

namespace yuccamoor {
namespace {

std::uint64_t NowNs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::nanoseconds>(now).count());
}

Json AttributeJson(const std::string& key, const std::string& value) {
  return Json{{"key", key}, {"value", {{"stringValue", value}}}};
}

Json SpanJson(const SpanRecord& span) {
  constexpr int kStatusError = 2;
  Json json = {{"traceId", span.context.trace},
               {"spanId", span.context.span},
               {"name", span.name},
               {"kind", static_cast<int>(span.kind)},
               {"startTimeUnixNano", std::to_string(span.start_ns)},
               {"endTimeUnixNano", std::to_string(span.end_ns)}};
  if (!span.parent.empty()) json["parentSpanId"] = span.parent;
  if (span.failed) json["status"] = {{"code", kStatusError}};
  Json attributes = Json::array();
  for (const auto& [key, value] : span.attributes) {
    attributes.push_back(AttributeJson(key, value));
  }
  json["attributes"] = std::move(attributes);
  return json;
}

}  // namespace

std::string EncodeSpans(const std::string& service,
                        const std::vector<SpanRecord>& spans) {
  Json list = Json::array();
  for (const SpanRecord& span : spans) list.push_back(SpanJson(span));
  Json scope_spans = {{"scope", {{"name", "yuccamoor"}}}};
  scope_spans["spans"] = std::move(list);
  Json resource_spans;
  resource_spans["resource"]["attributes"] =
      Json::array({AttributeJson("service.name", service)});
  resource_spans["scopeSpans"] = Json::array({std::move(scope_spans)});
  Json json;
  json["resourceSpans"] = Json::array({std::move(resource_spans)});
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Span::Span(SpanExporter* exporter, SpanRecord record)
    : m_exporter(exporter), m_record(std::move(record)) {}

Span::Span(Span&& other) noexcept
    : m_exporter(std::exchange(other.m_exporter, nullptr)),
      m_record(std::move(other.m_record)) {}

Span::~Span() { End(); }

void Span::Attribute(std::string key, std::string value) {
  constexpr std::size_t kMaxAttributes = 32;
  if (m_exporter == nullptr) return;
  if (m_record.attributes.size() >= kMaxAttributes) return;
  m_record.attributes.emplace_back(std::move(key), std::move(value));
}

void Span::Fail(std::string reason) {
  m_record.failed = true;
  Attribute("error.type", std::move(reason));
}

void Span::End() {
  SpanExporter* exporter = std::exchange(m_exporter, nullptr);
  if (exporter == nullptr) return;
  m_record.end_ns = NowNs();
  // The context stays, for callees that are still called.
  const TraceContext context = m_record.context;
  exporter->Export(std::move(m_record));
  m_record.context = context;
}

Tracer::Tracer(SpanExporter* exporter, double ratio)
    : m_exporter(exporter), m_ratio(ratio) {}

Span Tracer::Start(std::string name, SpanKind kind,
                   const std::optional<TraceContext>& parent) const {
  SpanRecord record;
  record.name = std::move(name);
  record.kind = kind;
  record.context.span = NewSpanId();
  if (parent) {
    record.context.trace = parent->trace;
    record.context.sampled = parent->sampled;
    record.parent = parent->span;
  } else {
    record.context.trace = NewTraceId();
    record.context.sampled = Sample(record.context.trace);
  }
  record.start_ns = NowNs();
  SpanExporter* exporter = record.context.sampled ? m_exporter : nullptr;
  return {exporter, std::move(record)};
}

bool Tracer::Sample(const TraceId& trace) const {
  constexpr std::size_t kDigits = 8;
  constexpr int kHexBase = 16;
  constexpr double kRange = 4294967296.0;
  const auto draw =
      std::stoul(trace.str().substr(0, kDigits), nullptr, kHexBase);
  return static_cast<double>(draw) / kRange < m_ratio;
}

}  // namespace yuccamoor
