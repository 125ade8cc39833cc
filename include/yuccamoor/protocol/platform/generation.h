/// \file
/// \brief Requests for tokens to an engine and the events of its answer, sent
/// as server-sent events.

#ifndef YUCCAMOOR_PROTOCOL_PLATFORM_GENERATION_H_
#define YUCCAMOOR_PROTOCOL_PLATFORM_GENERATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "yuccamoor/state/ids.h"
#include "yuccamoor/state/priority.h"

namespace yuccamoor {

/// Asks an engine for the tokens of one request.
struct GenerateRequest {
  RequestId request_id;
  std::uint32_t attempt = 1;
  AdapterVersion target;
  std::string prompt;
  std::uint32_t max_tokens = 16;
  Priority priority = Priority::kNormal;
  /// Index of the first token to send. Above zero the engine continues a
  /// stream of the same request id that it still holds.
  std::uint32_t resume_from = 0;
};

/// One event of an engine's answer: a token, or the end of the answer.
struct TokenEvent {
  RequestId request_id;
  std::uint32_t attempt = 1;
  AdapterVersion target;
  InstanceId instance;
  /// Index of the token, from 0. At the end: the number of all tokens.
  std::uint32_t index = 0;
  std::string token;
  bool done = false;
};

/// Returns the request's JSON text.
std::string EncodeGenerateRequest(const GenerateRequest& request);
/// Returns the request, or nothing if the text is not one.
std::optional<GenerateRequest> DecodeGenerateRequest(std::string_view text);

/// Returns the event as one server-sent event with its closing empty line.
std::string EncodeTokenEvent(const TokenEvent& event);
/// Returns the event of one server-sent event's data, or nothing.
std::optional<TokenEvent> DecodeTokenEvent(std::string_view data);

/// Returns the priority's name on the wire: interactive, normal, background.
std::string PriorityName(Priority priority);
/// Returns the priority of a name, or nothing.
std::optional<Priority> ParsePriority(std::string_view name);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_PROTOCOL_PLATFORM_GENERATION_H_
