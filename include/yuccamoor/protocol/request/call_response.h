/// \file
/// \brief How the end of a request is told to its caller: HTTP status, header
/// fields and error body.

#ifndef YUCCAMOOR_PROTOCOL_REQUEST_CALL_RESPONSE_H_
#define YUCCAMOOR_PROTOCOL_REQUEST_CALL_RESPONSE_H_

#include <optional>
#include <string>
#include <string_view>

#include "yuccamoor/coordination/request/outcome.h"
#include "yuccamoor/coordination/request/plain_call.h"
#include "yuccamoor/state/clock.h"

namespace yuccamoor {

/// Response: how the request ended; "answered", "not_run" or "unknown".
constexpr std::string_view kOutcomeHeader = "Yuccamoor-Outcome";
/// Response: "true" if the answer is the stored one of an earlier sending.
constexpr std::string_view kReplayedHeader = "Yuccamoor-Replayed";
/// Request: the caller's key of a non-idempotent request.
constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";
/// Request: milliseconds since the caller first sent the key. Sent with every
/// sending but the first.
constexpr std::string_view kFirstSentAgoHeader = "Yuccamoor-First-Sent-Ago-Ms";
/// Endpoint's response: "true" if it did not run the request.
constexpr std::string_view kNotRunHeader = "Yuccamoor-Not-Run";
/// Endpoint's response: "true" if it is leaving.
constexpr std::string_view kLeavingHeader = "Yuccamoor-Leaving";

/// Returns the value of a Retry-After header in whole seconds, rounded up.
std::string RetryAfterSeconds(DurationMs retry_after);

/// A response to a caller, apart from the transport's types.
struct CallResponse {
  int status = 500;
  std::string content_type;
  std::string body;
  Outcome outcome = Outcome::kUnknown;
  bool replayed = false;
  /// Zero: no Retry-After.
  DurationMs retry_after;
};

/// Returns the response to a call that ended so.
CallResponse ResponseOf(const CallEnd& end);

/// Returns the time that a first-sent header states; nothing if there is none
/// or it is no number.
std::optional<DurationMs> ParseFirstSentAgo(std::string_view value);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_PROTOCOL_REQUEST_CALL_RESPONSE_H_
