/// \file
/// \brief Names of enumerators on the wire.

#ifndef YUCCAMOOR_PROTOCOL_PLATFORM_ENUM_NAMES_H_
#define YUCCAMOOR_PROTOCOL_PLATFORM_ENUM_NAMES_H_

#include <array>
#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>

namespace yuccamoor {

/// One enumerator and its name on the wire.
template <class Enum>
struct EnumName {
  Enum value;
  std::string_view name;
};

/// Returns the enumerator's name; every enumerator must be in the table.
template <class Enum, std::size_t kSize>
std::string NameOf(const std::array<EnumName<Enum>, kSize>& names, Enum value) {
  for (const auto& entry : names) {
    if (entry.value == value) return std::string(entry.name);
  }
  throw std::invalid_argument("enumerator without a name");
}

/// Returns the enumerator of a name. Throws std::invalid_argument if there is
/// none.
template <class Enum, std::size_t kSize>
Enum EnumOf(const std::array<EnumName<Enum>, kSize>& names,
            std::string_view name) {
  for (const auto& entry : names) {
    if (entry.name == name) return entry.value;
  }
  throw std::invalid_argument("unknown name: " + std::string(name));
}

}  // namespace yuccamoor

#endif  // YUCCAMOOR_PROTOCOL_PLATFORM_ENUM_NAMES_H_
