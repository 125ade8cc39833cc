/// \file
/// \brief The one form in which callers are told that a request failed.

#ifndef YUCCAMOOR_PROTOCOL_API_ERROR_H_
#define YUCCAMOOR_PROTOCOL_API_ERROR_H_

#include <string>
#include <string_view>

#include "yuccamoor/coordination/request/outcome.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/finding.h"

namespace yuccamoor {

/// A failed request.
struct ApiError {
  /// The HTTP status.
  int status = 500;
  /// A name for programs, such as "overloaded".
  std::string type;
  /// A sentence for people.
  std::string message;
  Outcome outcome = Outcome::kNotRun;
  /// When the caller may try again; zero: not stated.
  DurationMs retry_after;
  /// What is wrong with the request, if that is why it failed.
  Findings findings;
};

/// Returns a failure that was not run and names no time for another try.
ApiError MakeApiError(int status, std::string type, std::string message);

/// Returns {"error":{"type","message","outcome","retry_after_ms","findings"}}.
std::string EncodeApiError(const ApiError& error);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_PROTOCOL_API_ERROR_H_
