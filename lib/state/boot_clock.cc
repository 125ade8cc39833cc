#include "yuccamoor/state/fleet/boot_clock.h"

#include <ctime>

namespace yuccamoor::fleet {

TimeMs BootClock::Now() const {
  constexpr std::int64_t kMsPerSecond = 1'000;
  constexpr std::int64_t kNsPerMs = 1'000'000;
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return TimeMs(now.tv_sec * kMsPerSecond + now.tv_nsec / kNsPerMs);
}

}  // namespace yuccamoor::fleet
