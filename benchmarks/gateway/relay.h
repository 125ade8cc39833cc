/// \file
/// \brief A bare relay on Beast: passes each request on to one upstream and the
/// body of the answer back, without a look at either.

#ifndef YUCCAMOOR_BENCHMARKS_GATEWAY_RELAY_H_
#define YUCCAMOOR_BENCHMARKS_GATEWAY_RELAY_H_

#include <cstdint>
#include <string>

#include "yuccamoor/transport/asio.h"

namespace yuccamoor {

/// Serves on a free port of loopback in the context, which must outlive what
/// was accepted. \p upstream is "ip:port". Returns the port.
std::uint16_t StartRelay(asio::io_context& context,
                         const std::string& upstream);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_BENCHMARKS_GATEWAY_RELAY_H_
