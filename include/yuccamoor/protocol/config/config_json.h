/// \file
/// \brief JSON of the parts of a configuration, the same in operators' files
/// and in published segments.

#ifndef YUCCAMOOR_PROTOCOL_CONFIG_CONFIG_JSON_H_
#define YUCCAMOOR_PROTOCOL_CONFIG_CONFIG_JSON_H_

#include <optional>
#include <string_view>

#include "yuccamoor/protocol/json.h"
#include "yuccamoor/state/config_records.h"

namespace yuccamoor {

/// Returns the unit as the JSON of an operator's file, every default written
/// out.
Json UnitToJson(const ConfigUnit& unit);

/// Returns the unit as UnitToJson does, with the number of a tenant's keys in
/// place of the keys: for people to read.
Json UnitToShow(const ConfigUnit& unit);

/// Reads a unit from JSON that the schema has accepted. Throws Json::exception
/// on other JSON.
ConfigUnit UnitFromJson(const Json& json);

/// Returns the priority's name in files.
std::string_view PriorityName(Priority priority);

/// Returns the priority of the name; kNormal for an unknown one.
Priority PriorityFromName(std::string_view name);

/// Returns the quota unit of the name, or nothing for an unknown one.
std::optional<fleet::QuotaUnit> QuotaUnitFromName(std::string_view name);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_PROTOCOL_CONFIG_CONFIG_JSON_H_
