/// \file
/// \brief The trace that a request belongs to, as in the W3C traceparent
/// header.

#ifndef YUCCAMOOR_TRANSPORT_OBSERVABILITY_TRACE_CONTEXT_H_
#define YUCCAMOOR_TRANSPORT_OBSERVABILITY_TRACE_CONTEXT_H_

#include <optional>
#include <string>
#include <string_view>

#include "yuccamoor/state/ids.h"

namespace yuccamoor {

/// 32 hexadecimal digits in lower case, not all zero.
using TraceId = StringId<struct TraceIdTag>;
/// 16 hexadecimal digits in lower case, not all zero.
using SpanId = StringId<struct SpanIdTag>;

/// One span within a trace, as it is passed from process to process.
struct TraceContext {
  TraceId trace;
  SpanId span;
  /// Whether the trace is recorded.
  bool sampled = false;

  friend bool operator==(const TraceContext&, const TraceContext&) = default;
};

/// Returns the context of a traceparent header; nothing if it is malformed.
/// Versions above 00 are read by their first four fields.
std::optional<TraceContext> ParseTraceparent(std::string_view header);

/// Returns the traceparent header of a context.
std::string FormatTraceparent(const TraceContext& context);

/// Draws new ids.
TraceId NewTraceId();
SpanId NewSpanId();

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_OBSERVABILITY_TRACE_CONTEXT_H_
