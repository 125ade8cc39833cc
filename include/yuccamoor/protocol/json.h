/// \file
/// \brief The JSON type of every codec, and conversions for ids and durations.

#ifndef YUCCAMOOR_PROTOCOL_JSON_H_
#define YUCCAMOOR_PROTOCOL_JSON_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"
#include "yuccamoor/state/result.h"

namespace yuccamoor {

using Json = nlohmann::json;

/// Returns the whole number. Throws Json::exception for anything else, negative
/// numbers included, which the library's own conversion would wrap.
std::uint64_t GetUnsigned(const Json& json);
/// The same, within 32 bits.
std::uint32_t GetUnsigned32(const Json& json);

template <class Tag>
void to_json(Json& json, const StringId<Tag>& id) {
  json = id.str();
}

template <class Tag>
void from_json(const Json& json, StringId<Tag>& id) {
  id = StringId<Tag>(json.get<std::string>());
}

template <class Tag>
void to_json(Json& json, const NumberId<Tag>& id) {
  json = id.value();
}

template <class Tag>
void from_json(const Json& json, NumberId<Tag>& id) {
  id = NumberId<Tag>(GetUnsigned(json));
}

void to_json(Json& json, const DurationMs& duration);
void from_json(const Json& json, DurationMs& duration);

void to_json(Json& json, const AdapterVersion& target);
void from_json(const Json& json, AdapterVersion& target);

/// Parses JSON text that another program wrote. Throws Json::exception for text
/// that is no JSON, or that is nested deeper than any message: values are
/// copied and written by recursion.
Json ParseUntrusted(std::string_view text);

/// Returns the parser's reason without the text that it read, which may be
/// secret.
std::string ReasonOf(const Json::exception& error);

/// Parses JSON text. A syntax error is one finding with line and column, in
/// \p source.
Result<Json> ParseJson(std::string_view text, const std::string& source);

/// Parses and converts one message. The finding of a failure says which field
/// was wrong.
template <class Message>
Result<Message> DecodeMessage(std::string_view text,
                              const std::string& source) {
  auto json = ParseJson(text, source);
  if (!json) return json.error();
  try {
    return json.value().template get<Message>();
  } catch (const Json::exception& error) {
    return Findings(Finding{Place{source, "", 0, 0}, error.what(), ""});
  }
}

/// The same for a caller that does not report why.
template <class Message>
std::optional<Message> DecodeJson(std::string_view text) {
  auto message = DecodeMessage<Message>(text, "");
  if (!message) return std::nullopt;
  return std::move(message).value();
}

}  // namespace yuccamoor

#endif  // YUCCAMOOR_PROTOCOL_JSON_H_
