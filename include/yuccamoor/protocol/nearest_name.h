/// \file
/// \brief Finds the name that was meant by a mistyped one.

#ifndef YUCCAMOOR_PROTOCOL_NEAREST_NAME_H_
#define YUCCAMOOR_PROTOCOL_NEAREST_NAME_H_

#include <string>
#include <string_view>
#include <vector>

namespace yuccamoor {

/// Returns the known name that is nearest by edit distance, or an empty text if
/// none is near enough for a slip of the keyboard.
std::string NearestName(std::string_view typed,
                        const std::vector<std::string>& known);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_PROTOCOL_NEAREST_NAME_H_
