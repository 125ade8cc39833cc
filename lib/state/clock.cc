/// \file
/// \brief Implementation of the clocks.

#include "yuccamoor/state/clock.h"

#include <cassert>
#include <chrono>

namespace yuccamoor {

TimeMs SteadyClock::Now() const {
  const auto since_epoch = std::chrono::steady_clock::now().time_since_epoch();
  return TimeMs(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
          .count());
}

void ManualClock::Advance(DurationMs step) {
  assert(step >= DurationMs(0) && "a clock must not go back");
  m_now = m_now + step;
}

}  // namespace yuccamoor
