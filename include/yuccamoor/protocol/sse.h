/// \file
/// \brief Server-sent events: encoding, and parsing of a body that arrives
/// piece by piece.

#ifndef YUCCAMOOR_PROTOCOL_SSE_H_
#define YUCCAMOOR_PROTOCOL_SSE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace yuccamoor {

/// One event. The id is empty if the event has none.
struct SseEvent {
  std::string id;
  std::string data;
};

/// Returns the event's text, with the blank line that ends it. The data must
/// hold no line break.
std::string EncodeSse(const SseEvent& event);

/// Splits a body into events.
class SseParser {
 public:
  /// Takes the next piece and returns the events that it completes. Throws
  /// std::length_error when an event grows beyond kMaxEventBytes.
  std::vector<SseEvent> Feed(std::string_view piece);

  /// Whether the body so far ends between two events.
  bool AtBoundary() const { return m_pending.empty(); }

  static constexpr std::size_t kMaxEventBytes = 1'048'576;

 private:
  std::string m_pending;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_PROTOCOL_SSE_H_
