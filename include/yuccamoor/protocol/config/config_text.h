/// \file
/// \brief The forms that texts in operators' files may have.

#ifndef YUCCAMOOR_PROTOCOL_CONFIG_CONFIG_TEXT_H_
#define YUCCAMOOR_PROTOCOL_CONFIG_CONFIG_TEXT_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace yuccamoor {

/// The longest name, in characters.
constexpr std::size_t kLongestConfigName = 64;
/// The longest key of a tenant, in characters.
constexpr std::size_t kLongestConfigKey = 256;
/// The longest path prefix, in characters.
constexpr std::size_t kLongestConfigPath = 256;

/// Whether the text is a name: letters, digits, '.', '_' and '-'.
bool IsConfigName(std::string_view text);

/// Whether the text is "ip:port", IPv6 in brackets, the port not zero.
bool IsConfigAddress(const std::string& text);

/// Whether the text is an HTTP method in capitals.
bool IsConfigMethod(std::string_view text);

/// Whether the text is a path of printable characters that starts with '/'.
bool IsConfigPath(std::string_view text);

/// Whether the text can be a tenant's key: printable characters, no spaces.
bool IsConfigKey(std::string_view text);

/// Whether the text is "adapter@version".
bool IsConfigTarget(std::string_view text);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_PROTOCOL_CONFIG_CONFIG_TEXT_H_
