/// \file
/// \brief Logs: one line of key=value pairs for each event, through glog.

#ifndef YUCCAMOOR_TRANSPORT_OBSERVABILITY_LOG_EVENT_H_
#define YUCCAMOOR_TRANSPORT_OBSERVABILITY_LOG_EVENT_H_

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <sstream>
#include <string>
#include <string_view>
#include <unordered_map>

#include "yuccamoor/state/clock.h"

namespace yuccamoor {

/// How much an event matters.
enum class LogLevel : std::uint8_t { kInfo, kWarning, kError };

/// Sends logs to the standard error output, each line begun by the time, the
/// level and the program. Called once, before other threads start.
void InitLogging(const std::string& program);

/// Appends " key=value", with the value in quotes and escaped if it is empty or
/// holds other than plain characters.
void AppendLogField(std::string& line, std::string_view key,
                    std::string_view value);

/// Limits how often each event is logged. Safe to use from several threads.
class LogSampler {
 public:
  explicit LogSampler(std::uint32_t lines_per_second)
      : m_lines_per_second(lines_per_second) {}

  /// The answer for one event.
  struct Verdict {
    bool log = false;
    /// Events of this name that were left out since the last logged one.
    std::uint64_t suppressed = 0;
  };

  /// Decides whether an event is logged. Names past the first thousand share
  /// one limit.
  Verdict Decide(std::string_view event, TimeMs now);

 private:
  struct Window {
    TimeMs begin;
    std::uint32_t lines = 0;
    std::uint64_t suppressed = 0;
  };

  std::uint32_t m_lines_per_second;
  // Guards the windows.
  std::mutex m_mutex;
  std::unordered_map<std::string, Window> m_windows;
};

/// One event, logged when the object goes. Infos are sampled when they flood;
/// warnings and errors too, as they flood worst. Prompts and secrets must not
/// be logged.
class LogEvent {
 public:
  explicit LogEvent(std::string_view event, LogLevel level = LogLevel::kInfo);
  ~LogEvent();
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;

  LogEvent& Field(std::string_view key, std::string_view value) {
    AppendLogField(m_line, key, value);
    return *this;
  }
  /// Adds anything that can be written to a stream: ids, durations, numbers.
  template <class T>
  LogEvent& Field(std::string_view key, const T& value) {
    std::ostringstream os;
    os << std::boolalpha << value;
    AppendLogField(m_line, key, os.str());
    return *this;
  }
  LogEvent& Field(std::string_view key, const char* value) {
    return Field(key, std::string_view(value));
  }

 private:
  std::string m_event;
  LogLevel m_level;
  std::string m_line;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_OBSERVABILITY_LOG_EVENT_H_
