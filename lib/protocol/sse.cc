/// \file
/// \brief Implementation of server-sent events.

#include "yuccamoor/protocol/sse.h"

#include <stdexcept>

namespace yuccamoor {
namespace {

constexpr std::string_view kEnd = "\n\n";

void AddLine(std::string_view line, SseEvent& event) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || colon == 0) return;
  const std::string_view field = line.substr(0, colon);
  std::string_view value = line.substr(colon + 1);
  if (!value.empty() && value.front() == ' ') value.remove_prefix(1);
  if (field == "data") {
    if (!event.data.empty()) event.data += '\n';
    event.data += value;
  }
  if (field == "id") event.id = value;
}

SseEvent ParseEvent(std::string_view text) {
  SseEvent event;
  while (!text.empty()) {
    const std::size_t newline = text.find('\n');
    AddLine(text.substr(0, newline), event);
    if (newline == std::string_view::npos) break;
    text.remove_prefix(newline + 1);
  }
  return event;
}

}  // namespace

std::string EncodeSse(const SseEvent& event) {
  std::string text;
  if (!event.id.empty()) text += "id: " + event.id + "\n";
  return text + "data: " + event.data + "\n\n";
}

std::vector<SseEvent> SseParser::Feed(std::string_view piece) {
  m_pending += piece;
  std::vector<SseEvent> events;
  std::size_t begin = 0;
  for (;;) {
    const std::size_t end = m_pending.find(kEnd, begin);
    if (end == std::string::npos) break;
    events.push_back(
        ParseEvent(std::string_view(m_pending).substr(begin, end - begin)));
    begin = end + kEnd.size();
  }
  m_pending.erase(0, begin);
  if (m_pending.size() > kMaxEventBytes) {
    throw std::length_error("a server-sent event is too long");
  }
  return events;
}

}  // namespace yuccamoor
