#include "yuccamoor/protocol/fleet/request_target.h"

#include <cassert>

namespace yuccamoor::fleet {

namespace {

// The characters that have no meaning of their own anywhere in a target.
bool IsUnreserved(char c) {
  constexpr std::string_view kMarks = "-._~";
  return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') ||
         (c >= '0' && c <= '9') || kMarks.find(c) != std::string_view::npos;
}

// Appends the text with "%XX" for each byte that is neither unreserved nor
// among \p allowed.
void AppendEscaped(std::string& out, std::string_view text,
                   std::string_view allowed) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  constexpr unsigned kBase = 16;
  for (const char c : text) {
    if (IsUnreserved(c) || allowed.find(c) != std::string_view::npos) {
      out += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    out += '%';
    out += kDigits[byte / kBase];
    out += kDigits[byte % kBase];
  }
}

}  // namespace

RequestTarget& RequestTarget::AddSegment(std::string_view segment) {
  assert(!m_has_query && "the path comes before the query");
  m_text += '/';
  AppendEscaped(m_text, segment, "");
  return *this;
}

RequestTarget& RequestTarget::AddField(std::string_view name,
                                       std::string_view value) {
  // A slash separates nothing in a query.
  constexpr std::string_view kAllowed = "/";
  m_text += m_has_query ? '&' : '?';
  m_has_query = true;
  AppendEscaped(m_text, name, kAllowed);
  m_text += '=';
  AppendEscaped(m_text, value, kAllowed);
  return *this;
}

}  // namespace yuccamoor::fleet
