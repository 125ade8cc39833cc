#include "yuccamoor/transport/observability/line_log.h"

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include "yuccamoor/transport/observability/log_event.h"

namespace yuccamoor {

namespace {
constexpr std::size_t kMaxBufferBytes = 262'144;
constexpr std::uint32_t kLinesPerSecond = 200;
constexpr DurationMs kWindow{1'000};

// Whether a write would not wait. The descriptor may be shared with other
// processes, so it is not made non-blocking.
bool IsWritable(int descriptor) {
  pollfd poll_entry{descriptor, POLLOUT, 0};
  return ::poll(&poll_entry, 1, 0) == 1 && (poll_entry.revents & POLLOUT) != 0;
}

}  // namespace

LineLog::Line::Line(LineLog& log, std::string_view event, bool enabled)
    : m_log(log), m_enabled(enabled), m_start(log.m_buffer.size()) {
  if (!m_enabled) return;
  m_log.m_buffer.append("at_ms=")
      .append(std::to_string(m_log.m_clock.Now().ms()))
      .append(" event=")
      .append(event);
}

LineLog::Line::~Line() {
  if (m_enabled) m_log.m_buffer.push_back('\n');
}

LineLog::Line& LineLog::Line::Text(std::string_view key,
                                   std::string_view value) {
  if (m_enabled) AppendLogField(m_log.m_buffer, key, value);
  return *this;
}

LineLog::Line& LineLog::Line::Raw(std::string_view key,
                                  std::string_view value) {
  if (m_enabled) {
    m_log.m_buffer.append(1, ' ').append(key).append(1, '=').append(value);
  }
  return *this;
}

LineLog::LineLog(const Clock& clock, int descriptor)
    : m_clock(clock), m_descriptor(descriptor) {}

LineLog::Line LineLog::Event(std::string_view event) {
  return Line(*this, event, Admit(event));
}

bool LineLog::Admit(std::string_view event) {
  Window& window = m_windows[std::string(event)];
  const TimeMs now = m_clock.Now();
  if (now - window.begin >= kWindow) {
    const std::uint64_t dropped = window.dropped;
    window = Window{now, 0, 0};
    if (dropped > 0 && m_buffer.size() < kMaxBufferBytes) {
      m_buffer.append("at_ms=")
          .append(std::to_string(now.ms()))
          .append(" event=log_lines_dropped kind=")
          .append(event)
          .append(" count=")
          .append(std::to_string(dropped))
          .append("\n");
    }
  }
  if (window.lines < kLinesPerSecond && m_buffer.size() < kMaxBufferBytes) {
    ++window.lines;
    return true;
  }
  ++window.dropped;
  ++m_dropped;
  return false;
}

void LineLog::Flush() {
  while (!m_buffer.empty() && IsWritable(m_descriptor)) {
    // A pipe that is writable takes at least this much without waiting.
    constexpr std::size_t kAtomicBytes = 4'096;
    const std::size_t size = std::min(m_buffer.size(), kAtomicBytes);
    const ssize_t n = ::write(m_descriptor, m_buffer.data(), size);
    if (n <= 0) return;
    m_buffer.erase(0, static_cast<std::size_t>(n));
  }
}

}  // namespace yuccamoor
