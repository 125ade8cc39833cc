/// \file
/// \brief JSON parsing with places, and conversions of common types.

#include "yuccamoor/protocol/json.h"

#include <algorithm>
#include <limits>

namespace yuccamoor {
namespace {

Place PlaceOfByte(std::string_view text, std::size_t byte,
                  const std::string& source) {
  // The parser counts bytes from 1 and reports the last byte that it read.
  const std::size_t end = std::min(byte == 0 ? 0 : byte - 1, text.size());
  const std::string_view before = text.substr(0, end);
  Place place;
  place.source = source;
  place.line = 1 + static_cast<std::size_t>(
                       std::count(before.begin(), before.end(), '\n'));
  const std::size_t newline = before.rfind('\n');
  place.column =
      1 + (newline == std::string_view::npos ? end : end - newline - 1);
  return place;
}

// Whether arrays and objects are nested deeper than any message needs.
bool IsNestedTooDeep(std::string_view text) {
  constexpr std::size_t kMaxDepth = 64;
  std::size_t depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\') ++i;
      in_string = c != '"';
    } else if (c == '"') {
      in_string = true;
    } else if (c == '[' || c == '{') {
      if (++depth > kMaxDepth) return true;
    } else if ((c == ']' || c == '}') && depth > 0) {
      --depth;
    }
  }
  return false;
}

}  // namespace

Json ParseUntrusted(std::string_view text) {
  if (IsNestedTooDeep(text)) {
    throw Json::other_error::create(501, "nested too deep", nullptr);
  }
  return Json::parse(text);
}

std::uint64_t GetUnsigned(const Json& json) {
  if (!json.is_number_unsigned()) {
    throw Json::type_error::create(302, "whole number expected", &json);
  }
  return json.get<std::uint64_t>();
}

std::uint32_t GetUnsigned32(const Json& json) {
  const std::uint64_t value = GetUnsigned(json);
  if (value > std::numeric_limits<std::uint32_t>::max()) {
    throw Json::out_of_range::create(401, "number out of range", &json);
  }
  return static_cast<std::uint32_t>(value);
}

void to_json(Json& json, const DurationMs& duration) { json = duration.ms(); }

void from_json(const Json& json, DurationMs& duration) {
  duration = DurationMs(json.get<std::int64_t>());
}

void to_json(Json& json, const AdapterVersion& target) {
  json = target.adapter.str() + "@" + target.version.str();
}

void from_json(const Json& json, AdapterVersion& target) {
  const auto text = json.get<std::string>();
  const std::size_t at = text.find('@');
  if (at == std::string::npos) {
    throw Json::other_error::create(501, "adapter@version expected", &json);
  }
  target.adapter = AdapterId(text.substr(0, at));
  target.version = VersionId(text.substr(at + 1));
}

std::string ReasonOf(const Json::exception& error) {
  const std::string reason = error.what();
  return reason.substr(0, reason.find("; last read:"));
}

Result<Json> ParseJson(std::string_view text, const std::string& source) {
  try {
    return ParseUntrusted(text);
  } catch (const Json::parse_error& error) {
    return Findings(Finding{PlaceOfByte(text, error.byte, source),
                            "JSON syntax error", ReasonOf(error)});
  } catch (const Json::exception& error) {
    // A number that no double holds, or too deep a nesting: there is no place.
    return Findings(Finding{Place{source, "", 0, 0}, "unreadable JSON value",
                            error.what()});
  }
}

}  // namespace yuccamoor
