/// \file
/// \brief Differences between two configurations, for people and scripts.

#ifndef YUCCAMOOR_PROTOCOL_CONFIG_CONFIG_DIFF_H_
#define YUCCAMOOR_PROTOCOL_CONFIG_CONFIG_DIFF_H_

#include <iosfwd>
#include <string>
#include <vector>

#include "yuccamoor/coordination/config/config_content.h"
#include "yuccamoor/protocol/json.h"

namespace yuccamoor {

/// One value that differs.
struct ConfigDifference {
  OwnerId owner;
  /// JSON pointer within the owner's part.
  std::string pointer;
  /// The values as JSON text; empty if there is none.
  std::string before;
  std::string after;
};

/// Returns the differences, by owner.
std::vector<ConfigDifference> DiffUnits(const ConfigUnits& before,
                                        const ConfigUnits& after);

/// Writes "~ owner pointer: before -> after", with '+' for what is new and '-'
/// for what is gone.
std::ostream& operator<<(std::ostream& os, const ConfigDifference& difference);

void to_json(Json& json, const ConfigDifference& difference);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_PROTOCOL_CONFIG_CONFIG_DIFF_H_
