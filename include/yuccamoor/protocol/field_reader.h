/// \file
/// \brief Reads typed fields of a JSON object and collects what is wrong with
/// them.

#ifndef YUCCAMOOR_PROTOCOL_FIELD_READER_H_
#define YUCCAMOOR_PROTOCOL_FIELD_READER_H_

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

#include "yuccamoor/protocol/json.h"
#include "yuccamoor/state/finding.h"

namespace yuccamoor {

/// Reads one object. A field that is wrong leaves its output as it was and adds
/// a finding with the field's pointer. The object and the findings must outlive
/// the reader.
class FieldReader {
 public:
  /// \p source and \p pointer say where the object lies.
  FieldReader(const Json& object, std::string source, std::string pointer,
              Findings& findings);

  /// Whether the object has the field.
  bool Has(std::string_view name) const;
  /// Notes a field that the caller reads itself.
  void Known(std::string_view name) { m_known.emplace(name); }

  /// A string that must be there and not be empty.
  void RequiredString(std::string_view name, std::string& out);
  void OptionalString(std::string_view name, std::string& out);
  void OptionalBool(std::string_view name, bool& out);
  /// A whole number from \p min to \p max.
  void OptionalCount(std::string_view name, std::uint64_t min,
                     std::uint64_t max, std::uint64_t& out);
  void RequiredCount(std::string_view name, std::uint64_t min,
                     std::uint64_t max, std::uint64_t& out);
  /// A duration in whole milliseconds from \p min to \p max.
  void OptionalDuration(std::string_view name, DurationMs min, DurationMs max,
                        DurationMs& out);

  /// Reports every field that no call has named so far.
  void ReportUnknownFields();

  /// Adds a finding at the field.
  void Report(std::string_view name, std::string message,
              std::string hint = {});

 private:
  /// Returns the field, or null if it is absent; notes that it is known.
  const Json* Find(std::string_view name);
  void ReadString(std::string_view name, const Json& value, std::string& out);

  const Json& m_object;
  std::string m_source;
  std::string m_pointer;
  Findings& m_findings;
  std::set<std::string, std::less<>> m_known;
};

/// Returns the name as a part of a JSON pointer (RFC 6901).
std::string EscapePointer(std::string_view name);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_PROTOCOL_FIELD_READER_H_
