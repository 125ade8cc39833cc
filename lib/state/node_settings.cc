#include "yuccamoor/state/fleet/node_settings.h"

#include <charconv>

namespace yuccamoor::fleet {

SocketAddress ParseSocketAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return {};
  SocketAddress address;
  address.ip = std::string(text.substr(0, colon));
  const char* end = text.data() + text.size();
  const auto parsed =
      std::from_chars(text.data() + colon + 1, end, address.port);
  if (parsed.ec != std::errc() || parsed.ptr != end) address.port = 0;
  return address;
}

}  // namespace yuccamoor::fleet
