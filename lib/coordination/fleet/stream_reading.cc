#include "yuccamoor/coordination/fleet/stream_reading.h"

namespace yuccamoor::fleet {

namespace {

// Several events come together, within two thirds of the shortest delay that a
// deployment allows for an event. That they come a little late makes up for
// pauses of the engine.
constexpr DurationMs kReadInterval{80};
// Leaves room for one more interval and a late wake-up before the pause is
// late.
constexpr DurationMs kPauseMargin{90};

}  // namespace

StreamRead NextRead(const StreamProgress& stream, TimeMs now) {
  const bool near_limit =
      stream.longest_pause > kPauseMargin &&
      now - stream.last_delivery_at >= stream.longest_pause - kPauseMargin;
  if (near_limit) return StreamRead::kReadOnArrival;
  return now - stream.last_read_at >= kReadInterval ? StreamRead::kRead
                                                    : StreamRead::kWait;
}

}  // namespace yuccamoor::fleet
