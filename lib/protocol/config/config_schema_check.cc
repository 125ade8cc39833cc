/// \file
/// \brief Checks of JSON against the schema table.

#include <algorithm>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include "yuccamoor/protocol/config/config_json.h"
#include "yuccamoor/protocol/config/config_schema.h"
#include "yuccamoor/protocol/config/config_text.h"
#include "yuccamoor/protocol/nearest_name.h"

namespace yuccamoor {
namespace {

constexpr double kMostTargets = 64;
constexpr double kMostWeight = 1'000'000;

std::string HintForUnknown(std::string_view name, const ObjectSchema& schema) {
  std::vector<std::string> names;
  std::string known;
  for (const FieldSchema& field : schema) {
    names.emplace_back(field.name);
    known += known.empty() ? field.name : std::string(", ") + field.name;
  }
  const std::string nearest = NearestName(name, names);
  if (nearest.empty()) return "known fields: " + known;
  return "did you mean \"" + nearest + "\"?";
}

Place Below(const Place& place, std::string_view name) {
  Place below = place;
  below.pointer += '/';
  for (const char c : name) {
    if (c == '~') {
      below.pointer += "~0";
    } else if (c == '/') {
      below.pointer += "~1";
    } else {
      below.pointer += c;
    }
  }
  return below;
}

std::string RangeText(const FieldSchema& field) {
  std::ostringstream os;
  os << "from " << field.least << " to " << field.most;
  return os.str();
}

class SchemaChecker {
 public:
  explicit SchemaChecker(Findings& findings) : m_findings(findings) {}

  void CheckObject(const Json& json, const ObjectSchema& schema,
                   const Place& place) {
    if (!RequireType(json.is_object(), "an object", place)) return;
    for (const auto& [name, value] : json.items()) {
      const auto* field = std::find_if(
          schema.begin(), schema.end(),
          [&name = name](const FieldSchema& f) { return name == f.name; });
      if (field == schema.end()) {
        m_findings.Add(Below(place, name), "unknown field",
                       HintForUnknown(name, schema));
        continue;
      }
      CheckField(value, *field, Below(place, name));
    }
    for (const FieldSchema& field : schema) {
      if (!field.required || json.contains(field.name)) continue;
      m_findings.Add(Below(place, field.name), "required field is missing",
                     field.description);
    }
  }

 private:
  void CheckField(const Json& json, const FieldSchema& field,
                  const Place& place) {
    switch (field.type) {
      case FieldType::kBoolean:
        RequireType(json.is_boolean(), "true or false", place);
        return;
      case FieldType::kInteger:
      case FieldType::kNumber:
        CheckNumber(json, field, place);
        return;
      case FieldType::kObject:
        CheckObject(json, *field.element, place);
        return;
      case FieldType::kMap:
      case FieldType::kWeights:
        CheckMap(json, field, place);
        return;
      case FieldType::kNameList:
      case FieldType::kObjectList:
      case FieldType::kKeyList:
        CheckList(json, field, place);
        return;
      default:
        CheckText(json, field, place);
    }
  }

  void CheckText(const Json& json, const FieldSchema& field,
                 const Place& place) {
    if (!RequireType(json.is_string(), "text", place)) return;
    const auto& text = json.get_ref<const std::string&>();
    switch (field.type) {
      case FieldType::kAddress:
        Require(IsConfigAddress(text), place, "not an address",
                "write ip:port with the IP address in numbers");
        return;
      case FieldType::kMethod:
        Require(IsConfigMethod(text), place, "not an HTTP method",
                "write it in capitals, such as POST");
        return;
      case FieldType::kPath:
        Require(IsConfigPath(text), place, "not a path",
                "start it with '/' and use at most 256 printable characters");
        return;
      case FieldType::kPriority:
        Require(PriorityName(PriorityFromName(text)) == text, place,
                "unknown priority", "one of interactive, normal, background");
        return;
      case FieldType::kQuotaUnit:
        Require(QuotaUnitFromName(text).has_value(), place,
                "unknown quota unit", "one of requests, tokens");
        return;
      case FieldType::kKeyList:
        Require(IsConfigKey(text), place, "not a key",
                "use 1 to 256 printable characters without spaces");
        return;
      default:
        CheckName(text, place);
    }
  }

  void CheckName(std::string_view text, const Place& place) {
    Require(IsConfigName(text), place, "not a name",
            "use 1 to 64 letters, digits, '.', '_' or '-'");
  }

  void CheckNumber(const Json& json, const FieldSchema& field,
                   const Place& place) {
    const bool whole = field.type == FieldType::kInteger;
    if (!RequireType(whole ? json.is_number_integer() : json.is_number(),
                     whole ? "a whole number" : "a number", place)) {
      return;
    }
    const double value = json.get<double>();
    Require(value >= field.least && value <= field.most, place,
            "number out of range", "allowed is " + RangeText(field));
  }

  void CheckMap(const Json& json, const FieldSchema& field,
                const Place& place) {
    if (!RequireType(json.is_object(), "an object", place)) return;
    CheckCount(json.size(), field, place);
    for (const auto& [name, value] : json.items()) {
      const Place below = Below(place, name);
      CheckName(name, below);
      if (field.type == FieldType::kWeights) {
        CheckWeights(value, below);
      } else {
        CheckObject(value, *field.element, below);
      }
    }
  }

  void CheckWeights(const Json& json, const Place& place) {
    constexpr FieldSchema kTargets{
        "", FieldType::kWeights, true, 1, kMostTargets, nullptr, "", ""};
    constexpr FieldSchema kWeight{
        "", FieldType::kInteger, true, 0, kMostWeight, nullptr, "", ""};
    if (!RequireType(json.is_object(), "an object", place)) return;
    CheckCount(json.size(), kTargets, place);
    double total = 0;
    for (const auto& [name, value] : json.items()) {
      const Place below = Below(place, name);
      Require(IsConfigTarget(name), below, "not a target",
              "write adapter@version");
      CheckNumber(value, kWeight, below);
      if (value.is_number()) total += value.get<double>();
    }
    Require(json.empty() || total > 0, place, "all weights are zero",
            "give one target a weight above 0");
  }

  void CheckList(const Json& json, const FieldSchema& field,
                 const Place& place) {
    if (!RequireType(json.is_array(), "a list", place)) return;
    CheckCount(json.size(), field, place);
    for (std::size_t i = 0; i < json.size(); ++i) {
      const Place below = Below(place, std::to_string(i));
      if (field.type == FieldType::kObjectList) {
        CheckObject(json[i], *field.element, below);
        continue;
      }
      CheckText(json[i], field, below);
      const auto self = json.begin() + static_cast<std::ptrdiff_t>(i);
      Require(std::find(json.begin(), self, json[i]) == self, below,
              "listed twice", "remove one of them");
    }
  }

  void CheckCount(std::size_t count, const FieldSchema& field,
                  const Place& place) {
    const auto number = static_cast<double>(count);
    Require(number >= field.least && number <= field.most, place,
            std::to_string(count) + " entries",
            "allowed are " + RangeText(field));
  }

  bool RequireType(bool met, const char* expected, const Place& place) {
    Require(met, place, "wrong type", std::string("expected ") + expected);
    return met;
  }

  void Require(bool met, const Place& place, const std::string& message,
               const std::string& hint) {
    if (!met) m_findings.Add(place, message, hint);
  }

  Findings& m_findings;
};

}  // namespace

void CheckSchema(const Json& json, const ObjectSchema& schema,
                 const Place& place, Findings& findings) {
  SchemaChecker(findings).CheckObject(json, schema, place);
}

}  // namespace yuccamoor
