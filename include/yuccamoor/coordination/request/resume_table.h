/// \file
/// \brief The recent events of streams, for callers that reconnect with their
/// request id and Last-Event-ID.

#ifndef YUCCAMOOR_COORDINATION_REQUEST_RESUME_TABLE_H_
#define YUCCAMOOR_COORDINATION_REQUEST_RESUME_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "yuccamoor/coordination/request/stream_assembler.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor {

/// The limits of the table.
struct ResumeOptions {
  std::size_t max_streams = 1'024;
  /// Text held per stream; older events are dropped first.
  std::size_t max_stream_bytes = 65'536;
  /// How long a stream is held after its last event.
  DurationMs hold{30'000};
};

enum class ResumeStatus : std::uint8_t {
  kOk,
  /// No such stream here.
  kUnknownStream,
  /// Events after the caller's last one are no longer held.
  kGap,
};

/// What a caller that reconnects gets.
struct ResumeAnswer {
  ResumeStatus status = ResumeStatus::kUnknownStream;
  /// The index of the first event in `events`.
  TokenIndex first;
  std::vector<std::string> events;
  /// Whether the stream has ended and `events` are its last ones.
  bool whole = false;
};

/// Holds the recent events of the streams of one gateway, in bounded memory.
class ResumeTable {
 public:
  explicit ResumeTable(const ResumeOptions& options);

  /// Adds a stream whose first event here is \p first; the one whose last
  /// event is oldest makes room.
  void Open(const RequestId& request, TimeMs now,
            TokenIndex first = TokenIndex(0));
  /// Appends the stream's next event. Unknown streams are ignored.
  void Append(const RequestId& request, std::string text, TimeMs now);
  /// Appends the event if \p index is the next one; of several writers that
  /// follow one stream the first adds each event.
  void AppendAt(const RequestId& request, TokenIndex index, std::string text,
                TimeMs now);
  /// Marks the stream as ended whole.
  void Close(const RequestId& request, TimeMs now);
  /// Drops the stream: it failed or was cancelled.
  void Drop(const RequestId& request);

  /// Returns the events from \p next on.
  ResumeAnswer Resume(const RequestId& request, TokenIndex next) const;
  bool Contains(const RequestId& request) const {
    return m_streams.contains(request);
  }

  /// Drops streams without an event for the hold time.
  void Tick(TimeMs now);

  std::size_t size() const { return m_streams.size(); }

 private:
  struct Stream {
    TokenIndex first;
    std::deque<std::string> events;
    std::size_t bytes = 0;
    bool whole = false;
    TimeMs touched;
  };

  ResumeOptions m_options;
  std::map<RequestId, Stream> m_streams;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_REQUEST_RESUME_TABLE_H_
