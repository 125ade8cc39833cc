/// \file
/// \brief Parsing and making of trace contexts.

#include "yuccamoor/transport/observability/trace_context.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <random>

namespace yuccamoor {
namespace {

constexpr std::string_view kHex = "0123456789abcdef";
// "00-" trace "-" span "-" flags.
constexpr std::size_t kVersionDigits = 2;
constexpr std::size_t kTraceAt = 3;
constexpr std::size_t kTraceDigits = 32;
constexpr std::size_t kSpanAt = 36;
constexpr std::size_t kSpanDigits = 16;
constexpr std::size_t kFlagsAt = 53;
constexpr std::size_t kFlagsDigits = 2;
constexpr std::size_t kLength = 55;

bool IsHex(std::string_view text) {
  return text.find_first_not_of(kHex) == std::string_view::npos;
}

bool IsZero(std::string_view text) {
  return text.find_first_not_of('0') == std::string_view::npos;
}

std::string RandomHex(std::size_t digits) {
  static thread_local std::mt19937_64 random{std::random_device()()};
  constexpr unsigned kDigitBits = 4;
  constexpr std::size_t kDigitsPerWord = 16;
  constexpr std::uint64_t kDigitMask = 0xF;
  std::string text;
  std::uint64_t word = 0;
  for (std::size_t i = 0; i < digits; ++i) {
    if (i % kDigitsPerWord == 0) word = random();
    text += kHex[word & kDigitMask];
    word >>= kDigitBits;
  }
  if (IsZero(text)) text.back() = '1';
  return text;
}

}  // namespace

std::optional<TraceContext> ParseTraceparent(std::string_view header) {
  if (header.size() < kLength) return std::nullopt;
  const std::string_view version = header.substr(0, kVersionDigits);
  const std::string_view trace = header.substr(kTraceAt, kTraceDigits);
  const std::string_view span = header.substr(kSpanAt, kSpanDigits);
  const std::string_view flags = header.substr(kFlagsAt, kFlagsDigits);
  const bool separated = header[kTraceAt - 1] == '-' &&
                         header[kSpanAt - 1] == '-' &&
                         header[kFlagsAt - 1] == '-';
  if (!separated || version == "ff") return std::nullopt;
  if (!IsHex(version) || !IsHex(trace) || !IsHex(span) || !IsHex(flags)) {
    return std::nullopt;
  }
  if (IsZero(trace) || IsZero(span)) return std::nullopt;
  const bool longer = header.size() > kLength;
  if (longer && (version == "00" || header[kLength] != '-')) {
    return std::nullopt;
  }
  const bool sampled = kHex.find(flags[1]) % 2 == 1;
  return TraceContext{TraceId(std::string(trace)), SpanId(std::string(span)),
                      sampled};
}

std::string FormatTraceparent(const TraceContext& context) {
  return "00-" + context.trace.str() + "-" + context.span.str() +
         (context.sampled ? "-01" : "-00");
}

TraceId NewTraceId() { return TraceId(RandomHex(kTraceDigits)); }

SpanId NewSpanId() { return SpanId(RandomHex(kSpanDigits)); }

}  // namespace yuccamoor
