#include "yuccamoor/coordination/fleet/stream_reading.h"

namespace yuccamoor::fleet {

namespace {

// Batches several events, within two thirds of the shortest delay that a
// deployment allows for an event. The small added delay smooths over pauses of
// the engine.
constexpr DurationMs kReadInterval{80};
// Leaves time for one more read interval and a late wake-up before the pause
// counts as late.
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
