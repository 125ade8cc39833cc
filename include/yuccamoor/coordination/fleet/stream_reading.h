/// \file
/// \brief Decides when a running stream is read.
///
/// Waking up for each event of each stream would take most of a node's CPU
/// time, so streams are read at intervals. A stream whose current pause comes
/// close to the longest allowed one is read as soon as its next event arrives.

#ifndef YUCCAMOOR_COORDINATION_FLEET_STREAM_READING_H_
#define YUCCAMOOR_COORDINATION_FLEET_STREAM_READING_H_

#include <cstdint>

#include "yuccamoor/state/clock.h"

namespace yuccamoor::fleet {

/// The next action for a stream.
enum class StreamRead : std::uint8_t {
  /// Do not read yet.
  kWait,
  /// Read the events that have arrived.
  kRead,
  /// Read as soon as an event arrives.
  kReadOnArrival,
};

/// Read progress of a running stream.
struct StreamProgress {
  TimeMs last_read_at;
  /// When events were last forwarded.
  TimeMs last_delivery_at;
  /// The longest pause that does not count as late; zero if there is no limit.
  DurationMs longest_pause{0};
};

/// Returns the next action for the stream at \p now.
StreamRead NextRead(const StreamProgress& stream, TimeMs now);

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_STREAM_READING_H_
