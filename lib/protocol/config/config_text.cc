/// \file
/// \brief Implementation of the forms of texts in operators' files.

#include "yuccamoor/protocol/config/config_text.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>

namespace yuccamoor {
namespace {

constexpr std::size_t kLongestMethod = 16;

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

bool IsPrintable(char c) { return c > ' ' && c <= '~'; }

bool IsIpAddress(const std::string& host) {
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(),
                     bytes.data()) == 1;
  }
  return inet_pton(AF_INET, host.c_str(), bytes.data()) == 1;
}

}  // namespace

bool IsConfigName(std::string_view text) {
  return !text.empty() && text.size() <= kLongestConfigName &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

bool IsConfigAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  std::uint16_t port = 0;
  const char* last = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, last, port);
  return parsed.ec == std::errc() && parsed.ptr == last && port != 0 &&
         IsIpAddress(text.substr(0, colon));
}

bool IsConfigMethod(std::string_view text) {
  return !text.empty() && text.size() <= kLongestMethod &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return c >= 'A' && c <= 'Z'; });
}

bool IsConfigPath(std::string_view text) {
  return !text.empty() && text.size() <= kLongestConfigPath && text[0] == '/' &&
         std::all_of(text.begin(), text.end(), IsPrintable);
}

bool IsConfigKey(std::string_view text) {
  return !text.empty() && text.size() <= kLongestConfigKey &&
         std::all_of(text.begin(), text.end(), IsPrintable);
}

bool IsConfigTarget(std::string_view text) {
  const std::size_t at = text.find('@');
  return at != std::string_view::npos && IsConfigName(text.substr(0, at)) &&
         IsConfigName(text.substr(at + 1));
}

}  // namespace yuccamoor
