/// \file
/// \brief Sends the callers' form of failures.

#ifndef YUCCAMOOR_TRANSPORT_GATEWAY_API_RESPONSE_H_
#define YUCCAMOOR_TRANSPORT_GATEWAY_API_RESPONSE_H_

#include "yuccamoor/protocol/api_error.h"
#include "yuccamoor/transport/asio.h"
#include "yuccamoor/transport/http.h"

namespace yuccamoor {

class HttpExchange;

/// The header that names the request in every hop.
constexpr const char* kRequestIdHeader = "X-Request-Id";
/// The caller's time limit in milliseconds.
constexpr const char* kTimeoutHeader = "Yuccamoor-Timeout-Ms";

/// The id of the last event that a caller which reconnects has taken.
constexpr const char* kLastEventHeader = "Last-Event-ID";

/// Returns the response that tells of the failure.
HttpResponse ErrorResponse(const ApiError& error);

/// Sends the response that tells of the failure.
Awaitable<void> SendError(HttpExchange& exchange, ApiError error);

/// Returns the deadline that the request's header asks for, or the default.
/// Sets \p valid to false if the header is no time limit.
TimeMs RequestDeadline(const HttpRequest& request, DurationMs default_limit,
                       TimeMs now, bool& valid);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_GATEWAY_API_RESPONSE_H_
