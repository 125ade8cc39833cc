/// \file
/// \brief Priority classes of requests.

#ifndef YUCCAMOOR_STATE_PRIORITY_H_
#define YUCCAMOOR_STATE_PRIORITY_H_

#include <cstdint>

namespace yuccamoor {

/// The order in which waiting requests are served. A person waits for
/// interactive ones; background ones may be late.
enum class Priority : std::uint8_t { kInteractive, kNormal, kBackground };

}  // namespace yuccamoor

#endif  // YUCCAMOOR_STATE_PRIORITY_H_
