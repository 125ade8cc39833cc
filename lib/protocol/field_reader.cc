/// \file
/// \brief Implementation of the field reader.

#include "yuccamoor/protocol/field_reader.h"

#include <cassert>

namespace yuccamoor {

std::string EscapePointer(std::string_view name) {
  std::string escaped;
  for (const char c : name) {
    if (c == '~') {
      escaped += "~0";
    } else if (c == '/') {
      escaped += "~1";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

FieldReader::FieldReader(const Json& object, std::string source,
                         std::string pointer, Findings& findings)
    : m_object(object),
      m_source(std::move(source)),
      m_pointer(std::move(pointer)),
      m_findings(findings) {
  assert(object.is_object() && "only objects have fields");
}

bool FieldReader::Has(std::string_view name) const {
  return m_object.find(name) != m_object.end();
}

const Json* FieldReader::Find(std::string_view name) {
  m_known.emplace(name);
  const auto it = m_object.find(name);
  return it == m_object.end() ? nullptr : &*it;
}

void FieldReader::Report(std::string_view name, std::string message,
                         std::string hint) {
  m_findings.Add(Place{m_source, m_pointer + "/" + EscapePointer(name), 0, 0},
                 std::move(message), std::move(hint));
}

void FieldReader::ReadString(std::string_view name, const Json& value,
                             std::string& out) {
  if (!value.is_string()) {
    Report(name, "is not a string");
    return;
  }
  out = value.get<std::string>();
}

void FieldReader::RequiredString(std::string_view name, std::string& out) {
  const Json* value = Find(name);
  if (value == nullptr) {
    Report(name, "is missing", "give a string");
    return;
  }
  ReadString(name, *value, out);
  if (value->is_string() && out.empty()) Report(name, "is empty");
}

void FieldReader::OptionalString(std::string_view name, std::string& out) {
  const Json* value = Find(name);
  if (value != nullptr) ReadString(name, *value, out);
}

void FieldReader::OptionalBool(std::string_view name, bool& out) {
  const Json* value = Find(name);
  if (value == nullptr) return;
  if (!value->is_boolean()) {
    Report(name, "is not true or false");
    return;
  }
  out = value->get<bool>();
}

void FieldReader::OptionalCount(std::string_view name, std::uint64_t min,
                                std::uint64_t max, std::uint64_t& out) {
  const Json* value = Find(name);
  if (value == nullptr) return;
  const bool in_range = value->is_number_unsigned() &&
                        value->get<std::uint64_t>() >= min &&
                        value->get<std::uint64_t>() <= max;
  if (!in_range) {
    Report(name, "is not a whole number in range",
           "give " + std::to_string(min) + " to " + std::to_string(max));
    return;
  }
  out = value->get<std::uint64_t>();
}

void FieldReader::RequiredCount(std::string_view name, std::uint64_t min,
                                std::uint64_t max, std::uint64_t& out) {
  if (!Has(name)) {
    m_known.emplace(name);
    Report(name, "is missing", "give a whole number");
    return;
  }
  OptionalCount(name, min, max, out);
}

void FieldReader::OptionalDuration(std::string_view name, DurationMs min,
                                   DurationMs max, DurationMs& out) {
  assert(min >= DurationMs(0) && "durations in input are not negative");
  std::uint64_t ms = static_cast<std::uint64_t>(out.ms());
  OptionalCount(name, static_cast<std::uint64_t>(min.ms()),
                static_cast<std::uint64_t>(max.ms()), ms);
  out = DurationMs(static_cast<std::int64_t>(ms));
}

void FieldReader::ReportUnknownFields() {
  for (const auto& [name, value] : m_object.items()) {
    if (m_known.count(name) == 0) Report(name, "is not a known field");
  }
}

}  // namespace yuccamoor
