/// \file
/// \brief Reads lists of which single items may be unreadable.

#ifndef YUCCAMOOR_PROTOCOL_JSON_LIST_H_
#define YUCCAMOOR_PROTOCOL_JSON_LIST_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yuccamoor {

/// The text of a JSON object, taken apart.
struct JsonList {
  /// The texts of the list's items, within the text that was split. Nothing is
  /// known of them but where they begin and end.
  std::vector<std::string_view> items;
  /// The object's text with an empty list in place of the items.
  std::string rest;
};

/// Takes the items out of the member \p name of an object, so that one that
/// cannot be parsed keeps none of the others from being read. Returns nothing
/// if the text has no such member with a list, or ends within it.
std::optional<JsonList> SplitJsonList(std::string_view text,
                                      std::string_view name);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_PROTOCOL_JSON_LIST_H_
