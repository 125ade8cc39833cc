/// \file
/// \brief Spans, and their export as lines of OTLP/JSON to a file.

#ifndef YUCCAMOOR_TRANSPORT_OBSERVABILITY_TRACER_H_
#define YUCCAMOOR_TRANSPORT_OBSERVABILITY_TRACER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "yuccamoor/state/result.h"
#include "yuccamoor/transport/observability/trace_context.h"

namespace yuccamoor {

/// The role of a span, by OTLP's numbers.
enum class SpanKind : std::uint8_t { kInternal = 1, kServer = 2, kClient = 3 };

/// An ended span. Times are nanoseconds since the Unix epoch.
struct SpanRecord {
  TraceContext context;
  SpanId parent;
  std::string name;
  SpanKind kind = SpanKind::kInternal;
  std::uint64_t start_ns = 0;
  std::uint64_t end_ns = 0;
  bool failed = false;
  std::vector<std::pair<std::string, std::string>> attributes;
};

/// Takes ended spans. Never blocks its caller on I/O.
class SpanExporter {
 public:
  virtual ~SpanExporter() = default;

  virtual void Export(SpanRecord span) = 0;
  /// Spans that were dropped because the queue was full or writing failed.
  virtual std::uint64_t dropped() const = 0;
};

/// Where spans go.
struct SpanFileOptions {
  /// The service.name of the spans.
  std::string service;
  std::string path;
  /// Spans that wait to be written; more are dropped.
  std::size_t queue_limit = 10'000;
};

/// Makes an exporter whose own thread appends lines to a file, one for each
/// batch of spans. Fails if the file cannot be opened. Writes what is queued
/// when it is destroyed.
Result<std::unique_ptr<SpanExporter>> MakeFileSpanExporter(
    const SpanFileOptions& options);

/// Returns one line of OTLP/JSON for the spans.
std::string EncodeSpans(const std::string& service,
                        const std::vector<SpanRecord>& spans);

/// A span that runs. Exported when it ends or goes, if its trace is sampled.
/// Moved with its work; used by one thread at a time.
class Span {
 public:
  Span(Span&& other) noexcept;
  Span& operator=(Span&&) = delete;
  ~Span();

  /// The context to pass on to callees.
  const TraceContext& context() const { return m_record.context; }

  void Attribute(std::string key, std::string value);
  template <class T>
  void Attribute(std::string key, const T& value) {
    std::ostringstream os;
    os << value;
    Attribute(std::move(key), os.str());
  }
  /// Marks the span as failed.
  void Fail(std::string reason);
  /// Ends the span now. Later calls do nothing.
  void End();

 private:
  friend class Tracer;
  Span(SpanExporter* exporter, SpanRecord record);

  /// Null: the span is not recorded.
  SpanExporter* m_exporter;
  SpanRecord m_record;
};

/// Starts spans. Safe to use from several threads.
class Tracer {
 public:
  /// Without an exporter contexts are passed on and nothing is recorded. A
  /// trace that begins here is sampled with the given ratio, from 0 to 1. The
  /// exporter must outlive the tracer's spans.
  Tracer(SpanExporter* exporter, double ratio);

  /// Starts a span under the parent, or a trace of its own without one.
  Span Start(std::string name, SpanKind kind,
             const std::optional<TraceContext>& parent) const;

 private:
  bool Sample(const TraceId& trace) const;

  SpanExporter* m_exporter;
  double m_ratio;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_OBSERVABILITY_TRACER_H_
