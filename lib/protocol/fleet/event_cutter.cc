#include "yuccamoor/protocol/fleet/event_cutter.h"

#include <algorithm>
#include <utility>

namespace yuccamoor::fleet {

namespace {
constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kIdField = "id:";
}  // namespace

std::string EventCutter::TakeWhole() {
  // An end may begin with the last byte that was searched.
  const std::size_t from = m_searched - std::min<std::size_t>(m_searched, 1);
  const std::size_t end =
      std::string_view(m_pending).substr(from).rfind(kEventEnd);
  m_searched = m_pending.size();
  if (end == std::string_view::npos) return {};
  const std::size_t size = from + end + kEventEnd.size();
  m_searched -= size;
  std::string whole;
  if (size == m_pending.size()) {
    whole = std::move(m_pending);
    m_pending.clear();
  } else {
    whole = m_pending.substr(0, size);
    m_pending.erase(0, size);
  }
  NoteIds(whole);
  return whole;
}

void EventCutter::NoteIds(std::string_view events) {
  while (!events.empty()) {
    const std::size_t line_end = std::min(events.find('\n'), events.size());
    std::string_view line = events.substr(0, line_end);
    events.remove_prefix(std::min(line_end + 1, events.size()));
    if (line.empty()) ++m_events;
    if (!line.starts_with(kIdField)) continue;
    line.remove_prefix(kIdField.size());
    if (line.starts_with(' ')) line.remove_prefix(1);
    m_last_id = std::string(line.substr(0, line.find('\r')));
  }
}

}  // namespace yuccamoor::fleet
