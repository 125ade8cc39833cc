/// \file
/// \brief The schema of operators' files: one table from which the checks and
/// the documentation are made.

#ifndef YUCCAMOOR_PROTOCOL_CONFIG_CONFIG_SCHEMA_H_
#define YUCCAMOOR_PROTOCOL_CONFIG_CONFIG_SCHEMA_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "yuccamoor/protocol/json.h"
#include "yuccamoor/state/finding.h"

namespace yuccamoor {

/// What a value may be.
enum class FieldType : std::uint8_t {
  /// A name of 1 to 64 letters, digits, '.', '_' and '-'.
  kName,
  /// An "ip:port" with the address in numbers.
  kAddress,
  /// An upper-case HTTP method.
  kMethod,
  /// A path that starts with '/'.
  kPath,
  kPriority,
  /// What a quota counts.
  kQuotaUnit,
  kBoolean,
  /// A whole number within the bounds.
  kInteger,
  /// A number within the bounds.
  kNumber,
  /// An object of the element's fields.
  kObject,
  /// An object whose names are free and whose values are elements.
  kMap,
  /// An array of elements, at least one.
  kNameList,
  kObjectList,
  /// An array of secret texts, which no finding shows.
  kKeyList,
  /// An object by name of objects from "adapter@version" to a whole number.
  kWeights,
};

struct ObjectSchema;

/// One member of an object.
struct FieldSchema {
  const char* name;
  FieldType type;
  bool required;
  /// Bounds of a number, or of the count of entries of a list or map.
  double least;
  double most;
  /// The fields of the element, for kObject, kMap and kObjectList.
  const ObjectSchema* element;
  /// The value when the member is absent, as text.
  const char* default_text;
  const char* description;
};

/// The members of an object.
struct ObjectSchema {
  const char* title;
  const FieldSchema* fields;
  std::size_t field_count;

  const FieldSchema* begin() const { return fields; }
  const FieldSchema* end() const { return fields + field_count; }
};

/// The schema of one file.
const ObjectSchema& ConfigFileSchema();

/// Adds a finding for each part of the JSON that the schema does not allow.
void CheckSchema(const Json& json, const ObjectSchema& schema,
                 const Place& place, Findings& findings);

/// Returns the tables of docs/CONFIGURATION.md in Markdown.
std::string SchemaAsMarkdown();

}  // namespace yuccamoor

#endif  // YUCCAMOOR_PROTOCOL_CONFIG_CONFIG_SCHEMA_H_
