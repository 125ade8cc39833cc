/// \file
/// \brief Decides when a running stream is read.
///
/// Waking up for each event of each stream would cost most of a node's
/// processor time, so streams are read in intervals. A stream whose pause
/// comes near to the longest one that is not late is read at its next event.

#ifndef YUCCAMOOR_COORDINATION_FLEET_STREAM_READING_H_
#define YUCCAMOOR_COORDINATION_FLEET_STREAM_READING_H_

#include <cstdint>

#include "yuccamoor/state/clock.h"

namespace yuccamoor::fleet {

/// What to do with a stream now.
enum class StreamRead : std::uint8_t {
  /// Nothing yet.
  kWait,
  /// Read what has come.
  kRead,
  /// Read as soon as something comes.
  kReadOnArrival,
};

/// What is known of a running stream.
struct StreamProgress {
  TimeMs last_read_at;
  /// When events were passed on last.
  TimeMs last_delivery_at;
  /// The longest pause that is not late; zero if pauses do not matter.
  DurationMs longest_pause{0};
};

StreamRead NextRead(const StreamProgress& stream, TimeMs now);

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_STREAM_READING_H_
