#include "yuccamoor/protocol/fleet/message_fields.h"

#include <cstdint>

namespace yuccamoor::fleet {

DurationMs DurationOf(const Json& json) {
  constexpr std::int64_t kLongestMs = 3'600'000;
  const auto ms = json.get<std::int64_t>();
  if (ms < -kLongestMs || ms > kLongestMs) {
    throw Json::other_error::create(501, "duration out of range", &json);
  }
  return DurationMs(ms);
}

}  // namespace yuccamoor::fleet
