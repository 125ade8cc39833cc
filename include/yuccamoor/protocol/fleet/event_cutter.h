/// \file
/// \brief Cuts a stream of server-sent events into whole events without
/// looking at their data.

#ifndef YUCCAMOOR_PROTOCOL_FLEET_EVENT_CUTTER_H_
#define YUCCAMOOR_PROTOCOL_FLEET_EVENT_CUTTER_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace yuccamoor::fleet {

/// Collects bytes of a stream and hands out whole events.
class EventCutter {
 public:
  void Feed(std::string_view bytes) { m_pending.append(bytes); }

  /// Returns all whole events that have come, and notes the last id.
  std::string TakeWhole();

  /// Whether the bytes so far end between two events.
  bool AtBoundary() const { return m_pending.empty(); }
  /// Whether the event that has begun is longer than any event may be: its
  /// sender is in trouble, and may go on without end.
  bool IsTooLong() const { return m_pending.size() > kMaxEventBytes; }
  /// Forgets an event that was cut off.
  void DropPartial() {
    std::string().swap(m_pending);
    m_searched = 0;
  }
  /// The bytes that have come of the event that has begun.
  std::size_t pending_bytes() const { return m_pending.size(); }
  /// The id of the last event handed out; empty without one.
  const std::string& last_id() const { return m_last_id; }
  /// Events handed out.
  std::uint64_t events() const { return m_events; }

 private:
  static constexpr std::size_t kMaxEventBytes = 131'072;

  void NoteIds(std::string_view events);

  std::string m_pending;
  // The part of it that holds no end of an event.
  std::size_t m_searched = 0;
  std::string m_last_id;
  std::uint64_t m_events = 0;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_PROTOCOL_FLEET_EVENT_CUTTER_H_
