/// \file
/// \brief Structured log lines to standard output that never block.

#ifndef YUCCAMOOR_TRANSPORT_OBSERVABILITY_LINE_LOG_H_
#define YUCCAMOOR_TRANSPORT_OBSERVABILITY_LINE_LOG_H_

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "yuccamoor/state/clock.h"

namespace yuccamoor {

/// Collects lines of key=value pairs and writes them in batches. The volume is
/// bounded per kind of event and second, and in all by a buffer: what a slow
/// reader does not take is left out and counted. For one thread.
class LineLog {
 public:
  /// One line in the making. Empty if its kind is over its limit.
  class Line {
   public:
    Line(LineLog& log, std::string_view event, bool enabled);
    ~Line();
    Line(const Line&) = delete;
    Line& operator=(const Line&) = delete;

    Line& Text(std::string_view key, std::string_view value);
    template <std::integral T>
    Line& Number(std::string_view key, T value) {
      return Raw(key, std::to_string(value));
    }
    Line& Real(std::string_view key, double value) {
      return Raw(key, std::to_string(value));
    }
    Line& Ms(std::string_view key, DurationMs value) {
      return Number(key, value.ms());
    }

   private:
    Line& Raw(std::string_view key, std::string_view value);

    LineLog& m_log;
    bool m_enabled;
    std::size_t m_start;
  };

  /// Writes to the file descriptor.
  LineLog(const Clock& clock, int descriptor);

  /// Starts a line of this kind.
  Line Event(std::string_view event);
  /// Writes what the descriptor takes without waiting.
  void Flush();
  std::uint64_t dropped() const { return m_dropped; }

 private:
  struct Window {
    TimeMs begin;
    std::uint32_t lines = 0;
    std::uint64_t dropped = 0;
  };

  bool Admit(std::string_view event);

  const Clock& m_clock;
  int m_descriptor;
  std::string m_buffer;
  std::uint64_t m_dropped = 0;
  std::unordered_map<std::string, Window> m_windows;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_OBSERVABILITY_LINE_LOG_H_
