/// \file
/// \brief Logs of key=value pairs through glog.

#include "yuccamoor/transport/observability/log_event.h"

#include <glog/logging.h>

#include <algorithm>
#include <cctype>
#include <iomanip>
#include <utility>

namespace yuccamoor {
namespace {

constexpr std::uint32_t kLinesPerSecondAndEvent = 100;
constexpr std::size_t kMaxSampledNames = 1000;
constexpr DurationMs kSampleWindow(1'000);

std::string& ProgramName() {
  static std::string name = "yuccamoor";
  return name;
}

LogSampler& GlobalSampler() {
  static LogSampler sampler(kLinesPerSecondAndEvent);
  return sampler;
}

/// Begins a line: time (UTC), level and program.
void WritePrefix(std::ostream& os, const google::LogMessageInfo& info, void*) {
  const auto& time = info.time;
  constexpr int kYearBase = 1900;
  os << std::setfill('0') << "time=" << kYearBase + time.year() << '-'
     << std::setw(2) << 1 + time.month() << '-' << std::setw(2) << time.day()
     << 'T' << std::setw(2) << time.hour() << ':' << std::setw(2) << time.min()
     << ':' << std::setw(2) << time.sec() << '.' << std::setw(6) << time.usec()
     << " level="
     << static_cast<char>(
            std::tolower(static_cast<unsigned char>(info.severity[0])))
     << " program=" << ProgramName();
}

bool IsPlain(std::string_view value) {
  constexpr std::string_view kPlain = "-_.:/@+%#";
  return !value.empty() &&
         std::all_of(value.begin(), value.end(), [&](unsigned char c) {
           return std::isalnum(c) != 0 ||
                  kPlain.find(static_cast<char>(c)) != std::string_view::npos;
         });
}

void AppendEscaped(std::string& line, unsigned char c) {
  constexpr std::string_view kHex = "0123456789abcdef";
  constexpr unsigned kNibble = 4;
  constexpr unsigned kNibbleMask = 0xF;
  if (c == '"' || c == '\\') {
    line += '\\';
    line += static_cast<char>(c);
  } else if (c == '\n') {
    line += "\\n";
  } else if (std::iscntrl(c) != 0) {
    line += "\\x";
    line += kHex[c >> kNibble];
    line += kHex[c & kNibbleMask];
  } else {
    line += static_cast<char>(c);
  }
}

}  // namespace

void InitLogging(const std::string& program) {
  ProgramName() = program;
  FLAGS_logtostderr = true;
  FLAGS_log_utc_time = true;
  static const std::string kept_name = program;
  google::InitGoogleLogging(kept_name.c_str(), &WritePrefix);
}

void AppendLogField(std::string& line, std::string_view key,
                    std::string_view value) {
  if (!line.empty()) line += ' ';
  line += key;
  line += '=';
  if (IsPlain(value)) {
    line += value;
    return;
  }
  line += '"';
  for (const unsigned char c : value) AppendEscaped(line, c);
  line += '"';
}

LogSampler::Verdict LogSampler::Decide(std::string_view event, TimeMs now) {
  const std::lock_guard lock(m_mutex);
  std::string name(event);
  if (m_windows.size() >= kMaxSampledNames && !m_windows.contains(name)) {
    name = "other";
  }
  Window& window = m_windows[name];
  if (now - window.begin >= kSampleWindow) {
    window.begin = now;
    window.lines = 0;
  }
  if (window.lines >= m_lines_per_second) {
    ++window.suppressed;
    return Verdict{};
  }
  ++window.lines;
  return Verdict{true, std::exchange(window.suppressed, 0)};
}

LogEvent::LogEvent(std::string_view event, LogLevel level)
    : m_event(event), m_level(level) {
  AppendLogField(m_line, "event", event);
}

LogEvent::~LogEvent() {
  const LogSampler::Verdict verdict =
      GlobalSampler().Decide(m_event, SteadyClock().Now());
  if (!verdict.log) return;
  if (verdict.suppressed > 0) {
    AppendLogField(m_line, "suppressed", std::to_string(verdict.suppressed));
  }
  switch (m_level) {
    case LogLevel::kInfo:
      LOG(INFO) << m_line;
      return;
    case LogLevel::kWarning:
      LOG(WARNING) << m_line;
      return;
    case LogLevel::kError:
      LOG(ERROR) << m_line;
      return;
  }
}

}  // namespace yuccamoor
