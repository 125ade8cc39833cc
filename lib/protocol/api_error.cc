/// \file
/// \brief Implementation of the callers' error form.

#include "yuccamoor/protocol/api_error.h"

#include <utility>

#include "yuccamoor/protocol/json.h"

namespace yuccamoor {

ApiError MakeApiError(int status, std::string type, std::string message) {
  ApiError error;
  error.status = status;
  error.type = std::move(type);
  error.message = std::move(message);
  return error;
}

std::string EncodeApiError(const ApiError& error) {
  Json body{{"type", error.type},
            {"message", error.message},
            {"outcome", OutcomeName(error.outcome)}};
  if (error.retry_after > DurationMs(0)) {
    body["retry_after_ms"] = error.retry_after;
  }
  for (const Finding& finding : error.findings) {
    Json entry{{"pointer", finding.place.pointer},
               {"message", finding.message}};
    if (finding.place.line != 0) {
      entry["line"] = finding.place.line;
      entry["column"] = finding.place.column;
    }
    if (!finding.hint.empty()) entry["hint"] = finding.hint;
    body["findings"].push_back(std::move(entry));
  }
  return Json{{"error", std::move(body)}}.dump(-1, ' ', false,
                                               Json::error_handler_t::replace);
}

}  // namespace yuccamoor
