/// \file
/// \brief Implementation of the differences between configurations.

#include "yuccamoor/protocol/config/config_diff.h"

#include <ostream>
#include <set>
#include <string>
#include <string_view>

#include "yuccamoor/protocol/config/config_json.h"

namespace yuccamoor {
namespace {

/// Whether the pointer is that of a tenant's keys.
bool IsKeys(const std::string& pointer) {
  constexpr std::string_view kTenants = "/tenants/";
  if (!pointer.starts_with(kTenants)) return false;
  const std::size_t field = pointer.find('/', kTenants.size());
  return field != std::string::npos && pointer.substr(field) == "/keys";
}

/// Returns the value with the number of a tenant's keys in place of the keys.
Json WithoutKeys(const std::string& pointer, const Json& value) {
  if (IsKeys(pointer)) return std::to_string(value.size()) + " keys";
  if (!value.is_object()) return value;
  Json shown = Json::object();
  for (const auto& [name, member] : value.items()) {
    std::string below = pointer;
    below.append("/").append(name);
    shown[name] = WithoutKeys(below, member);
  }
  return shown;
}

std::string Shown(const std::string& pointer, const Json* value) {
  return value == nullptr ? "" : WithoutKeys(pointer, *value).dump();
}

/// Collects what differs between two values, objects member by member and
/// anything else as a whole.
void Compare(const OwnerId& owner, const std::string& pointer,
             const Json* before, const Json* after,
             std::vector<ConfigDifference>& found) {
  if (before != nullptr && after != nullptr && *before == *after) return;
  const bool descend = before != nullptr && after != nullptr &&
                       before->is_object() && after->is_object();
  if (!descend) {
    found.push_back(
        {owner, pointer, Shown(pointer, before), Shown(pointer, after)});
    return;
  }
  std::set<std::string> names;
  for (const auto& [name, value] : before->items()) names.insert(name);
  for (const auto& [name, value] : after->items()) names.insert(name);
  const auto member = [](const Json& json, const std::string& name) {
    const auto it = json.find(name);
    return it == json.end() ? nullptr : &*it;
  };
  for (const std::string& name : names) {
    std::string below = pointer;
    below.append("/").append(name);
    Compare(owner, below, member(*before, name), member(*after, name), found);
  }
}

Json UnitOf(const ConfigUnits& units, const OwnerId& owner) {
  const auto it = units.find(owner);
  if (it != units.end()) return UnitToJson(it->second);
  ConfigUnit none;
  none.owner = owner;
  return UnitToJson(none);
}

}  // namespace

std::vector<ConfigDifference> DiffUnits(const ConfigUnits& before,
                                        const ConfigUnits& after) {
  std::set<OwnerId> owners;
  for (const auto& [owner, unit] : before) owners.insert(owner);
  for (const auto& [owner, unit] : after) owners.insert(owner);
  std::vector<ConfigDifference> found;
  for (const OwnerId& owner : owners) {
    const Json old_unit = UnitOf(before, owner);
    const Json new_unit = UnitOf(after, owner);
    Compare(owner, "", &old_unit, &new_unit, found);
  }
  return found;
}

std::ostream& operator<<(std::ostream& os, const ConfigDifference& difference) {
  const char mark = difference.before.empty()  ? '+'
                    : difference.after.empty() ? '-'
                                               : '~';
  os << mark << ' ' << difference.owner << ' ' << difference.pointer << ": ";
  if (mark == '~') return os << difference.before << " -> " << difference.after;
  return os << difference.before << difference.after;
}

void to_json(Json& json, const ConfigDifference& difference) {
  json = Json{{"owner", difference.owner},
              {"pointer", difference.pointer},
              {"before", difference.before},
              {"after", difference.after}};
}

}  // namespace yuccamoor
