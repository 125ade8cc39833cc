/// \file
/// \brief Monotonic clock that includes the time the machine was suspended.

#ifndef YUCCAMOOR_STATE_FLEET_BOOT_CLOCK_H_
#define YUCCAMOOR_STATE_FLEET_BOOT_CLOCK_H_

#include "yuccamoor/state/clock.h"

namespace yuccamoor::fleet {

/// Monotonic time including suspensions. Leases and deadlines held elsewhere
/// continue to run while this machine is suspended, so decisions about them
/// need this clock.
class BootClock final : public Clock {
 public:
  TimeMs Now() const override;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_STATE_FLEET_BOOT_CLOCK_H_
