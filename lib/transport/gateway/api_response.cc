/// \file
/// \brief Implementation of the callers' failure responses.

#include "yuccamoor/transport/gateway/api_response.h"

#include <charconv>

#include "yuccamoor/protocol/request/call_response.h"
#include "yuccamoor/transport/http_server.h"

namespace yuccamoor {

HttpResponse ErrorResponse(const ApiError& error) {
  HttpResponse response = JsonResponse(error.status, EncodeApiError(error));
  response.headers.Add(std::string(kOutcomeHeader),
                       std::string(OutcomeName(error.outcome)));
  if (error.retry_after > DurationMs(0)) {
    response.headers.Add("Retry-After", RetryAfterSeconds(error.retry_after));
  }
  return response;
}

Awaitable<void> SendError(HttpExchange& exchange, ApiError error) {
  co_await exchange.Send(ErrorResponse(error));
}

TimeMs RequestDeadline(const HttpRequest& request, DurationMs default_limit,
                       TimeMs now, bool& valid) {
  constexpr std::int64_t kLongestMs = 24LL * 3'600 * 1'000;
  const std::string_view text = request.headers.Find(kTimeoutHeader);
  valid = true;
  if (text.empty()) return now + default_limit;
  std::int64_t ms = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), ms);
  valid = error == std::errc() && end == text.data() + text.size() && ms > 0 &&
          ms <= kLongestMs;
  return now + (valid ? DurationMs(ms) : default_limit);
}

}  // namespace yuccamoor
