#include "yuccamoor/protocol/json_bytes.h"

#include <boost/locale/utf.hpp>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <optional>
#include <string>
#include <utility>

namespace yuccamoor {

namespace {

constexpr char32_t kFirstHigh = 0xD800;
constexpr char32_t kFirstLow = 0xDC00;
constexpr char32_t kAfterLow = 0xE000;
constexpr unsigned char kFirstNoAscii = 0x80;

// Appends the code point in UTF-8, and halves of surrogate pairs likewise.
void AppendUtf8(std::string& out, char32_t code) {
  boost::locale::utf::utf_traits<char>::encode(code, std::back_inserter(out));
}

// Returns the text with each byte beyond ASCII, also an escaped one, as the
// character of the same number.
class ByteWidener {
 public:
  explicit ByteWidener(std::string_view text) : m_text(text) {}

  std::string Widen() {
    while (m_at < m_text.size()) Step();
    return std::move(m_out);
  }

 private:
  // The length of "\uXXXX".
  static constexpr std::size_t kEscapeLength = 6;

  void Step() {
    const char c = m_text[m_at];
    if (m_in_string && c == '\\') {
      PassEscape();
      return;
    }
    if (c == '"') m_in_string = !m_in_string;
    ++m_at;
    const auto byte = static_cast<unsigned char>(c);
    const bool is_control = byte < ' ' && m_in_string;
    if (is_control) {
      AppendControl(byte);
    } else if (byte < kFirstNoAscii) {
      m_out += c;
    } else {
      AppendUtf8(m_out, byte);
    }
  }

  void AppendControl(unsigned char byte) {
    constexpr std::string_view kDigits = "0123456789abcdef";
    m_out += "\\u00";
    m_out += kDigits[byte >> 4U];
    m_out += kDigits[byte & 0xFU];
  }

  void PassEscape() {
    const std::optional<char32_t> code = UnitAt(m_at);
    if (!code || *code < kFirstNoAscii) {
      m_out.append(m_text.substr(m_at, 2));
      m_at += 2;
      return;
    }
    m_at += kEscapeLength;
    std::string bytes;
    AppendCharacter(bytes, *code);
    for (const char byte : bytes) {
      AppendUtf8(m_out, static_cast<unsigned char>(byte));
    }
  }

  // Appends the character that begins with this unit, which was passed.
  void AppendCharacter(std::string& out, char32_t unit) {
    constexpr char32_t kFirstByte = 0xDC80;
    constexpr char32_t kLastByte = 0xDCFF;
    const bool is_high = unit >= kFirstHigh && unit < kFirstLow;
    const std::optional<char32_t> next = is_high ? UnitAt(m_at) : std::nullopt;
    if (next && *next >= kFirstLow && *next < kAfterLow) {
      m_at += kEscapeLength;
      AppendUtf8(out,
                 0x10000 + ((unit - kFirstHigh) << 10U) + (*next - kFirstLow));
    } else if (unit >= kFirstByte && unit <= kLastByte) {
      out += static_cast<char>(unit & 0xFFU);
    } else {
      AppendUtf8(out, unit);
    }
  }

  // Returns the unit of UTF-16 that is escaped there, or nothing.
  std::optional<char32_t> UnitAt(std::size_t at) const {
    const std::string_view escape = m_text.substr(at, kEscapeLength);
    if (escape.size() < kEscapeLength || !escape.starts_with("\\u")) {
      return std::nullopt;
    }
    constexpr int kHex = 16;
    std::uint32_t unit = 0;
    const char* end = escape.data() + escape.size();
    const auto parsed = std::from_chars(escape.data() + 2, end, unit, kHex);
    if (parsed.ptr != end) return std::nullopt;
    return static_cast<char32_t>(unit);
  }

  std::string_view m_text;
  std::size_t m_at = 0;
  bool m_in_string = false;
  std::string m_out;
};

// The reverse: characters that stand for bytes become these bytes.
std::string Narrow(std::string_view text) {
  std::string bytes;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const auto byte = static_cast<unsigned char>(text[i]);
    if (byte < kFirstNoAscii || i + 1 == text.size()) {
      bytes += text[i];
      continue;
    }
    ++i;
    const auto following = static_cast<unsigned char>(text[i]);
    bytes += static_cast<char>((byte & 0x03U) << 6U | (following & 0x3FU));
  }
  return bytes;
}

// Narrows all strings. The parser has bounded the nesting.
void NarrowAll(Json& json) {
  if (json.is_string()) {
    json = Narrow(json.get_ref<const std::string&>());
  } else if (json.is_structured()) {
    for (Json& child : json) NarrowAll(child);
  }
}

}  // namespace

Json ParseAnyBytes(std::string_view text) {
  Json json = ParseUntrusted(ByteWidener(text).Widen());
  NarrowAll(json);
  return json;
}

}  // namespace yuccamoor
