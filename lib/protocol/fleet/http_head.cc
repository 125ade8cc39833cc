#include "yuccamoor/protocol/fleet/http_head.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace yuccamoor::fleet {

namespace {

constexpr std::array<std::string_view, 8> kHopByHop = {
    "connection", "keep-alive",        "proxy-connection", "te",
    "trailer",    "transfer-encoding", "upgrade",          "content-length"};

char Lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

// Whether a receiver may take the character for the end of a field's line.
bool EndsLine(char c) { return c == '\r' || c == '\n' || c == '\0'; }

bool ListContains(std::string_view list, std::string_view name) {
  while (!list.empty()) {
    const std::size_t comma = std::min(list.find(','), list.size());
    if (SameHeaderName(Trim(list.substr(0, comma)), name)) return true;
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}

}  // namespace

bool SameHeaderName(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return Lower(x) == Lower(y); });
}

std::string_view HttpHead::Find(std::string_view name) const {
  for (const HeaderField& field : fields) {
    if (SameHeaderName(field.name, name)) return field.value;
  }
  return {};
}

std::size_t HttpHead::Count(std::string_view name) const {
  return static_cast<std::size_t>(std::count_if(
      fields.begin(), fields.end(),
      [&](const HeaderField& f) { return SameHeaderName(f.name, name); }));
}

bool IsHopByHop(const HttpHead& head, std::string_view name) {
  const bool standard = std::any_of(
      kHopByHop.begin(), kHopByHop.end(),
      [&](std::string_view hop) { return SameHeaderName(hop, name); });
  return standard || ListContains(head.Find("connection"), name);
}

void AppendField(std::string& out, std::string_view name,
                 std::string_view value) {
  out.append(name).append(": ");
  const auto begin = static_cast<std::ptrdiff_t>(out.size());
  out.append(value);
  std::replace_if(out.begin() + begin, out.end(), EndsLine, ' ');
  out.append("\r\n");
}

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case kUnauthorized:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case kTooManyRequests:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

}  // namespace yuccamoor::fleet
