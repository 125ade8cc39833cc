/// \file
/// \brief Tests of the read schedule of streams.

#include "yuccamoor/coordination/fleet/stream_reading.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace yuccamoor::fleet {
namespace {

constexpr DurationMs kLongestPause{250};
constexpr int kTickMs = 21;

// Simulates a stream with evenly spaced events. Returns the longest pause
// between the times at which they are forwarded.
DurationMs LongestSeenPause(int gap_ms, int phase_ms) {
  StreamProgress stream{TimeMs(0), TimeMs(0), kLongestPause};
  DurationMs longest{0};
  int next_event = gap_ms;
  bool awaiting = false;
  for (int ms = 1; ms < 20 * gap_ms; ++ms) {
    const TimeMs now(ms);
    const bool arrived = ms >= next_event;
    bool read = awaiting && arrived;
    if ((ms + phase_ms) % kTickMs == 0) {
      const StreamRead next = NextRead(stream, now);
      read = read || next == StreamRead::kRead;
      awaiting = awaiting || next == StreamRead::kReadOnArrival;
    }
    if (!read) continue;
    stream.last_read_at = now;
    if (!arrived) continue;
    longest = std::max(longest, now - stream.last_delivery_at);
    stream.last_delivery_at = now;
    awaiting = false;
    while (next_event <= ms) next_event += gap_ms;
  }
  return longest;
}

}  // namespace

TEST_CASE("Reading in intervals makes no stream late",
          "[fleet][streams][load]") {
  // Load pattern: an engine under load produces an event every 200 to 245 ms.
  // If read only at intervals of 80 ms, every such stream would be late.
  for (int gap_ms = 20; gap_ms <= 245; gap_ms += 5) {
    for (int phase_ms = 0; phase_ms < kTickMs; ++phase_ms) {
      CAPTURE(gap_ms, phase_ms);
      CHECK(LongestSeenPause(gap_ms, phase_ms) <= kLongestPause);
    }
  }
}

TEST_CASE("A fast stream is read in intervals only", "[fleet][streams]") {
  const StreamProgress stream{TimeMs(100), TimeMs(100), kLongestPause};
  CHECK(NextRead(stream, TimeMs(160)) == StreamRead::kWait);
  CHECK(NextRead(stream, TimeMs(180)) == StreamRead::kRead);
  CHECK(NextRead(stream, TimeMs(260)) == StreamRead::kReadOnArrival);
}

TEST_CASE("Pauses of a route without a limit are never near it",
          "[fleet][streams]") {
  const StreamProgress stream{TimeMs(0), TimeMs(0), DurationMs(0)};
  CHECK(NextRead(stream, TimeMs(5'000)) == StreamRead::kRead);
}

}  // namespace yuccamoor::fleet
