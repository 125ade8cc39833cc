/// \file
/// \brief Implementation of the tables.

#include "table.h"

#include <algorithm>
#include <cstddef>
#include <ostream>
#include <string>
#include <vector>

namespace yuccamoor {
namespace {

constexpr std::size_t kGap = 2;

std::string CellText(const Json& json) {
  return json.is_string() ? json.get<std::string>() : json.dump();
}

/// Returns the names of all members, in order of their first occurrence.
std::vector<std::string> ColumnsOf(const Json& rows) {
  std::vector<std::string> columns;
  for (const Json& row : rows) {
    for (const auto& [name, value] : row.items()) {
      if (std::find(columns.begin(), columns.end(), name) == columns.end()) {
        columns.push_back(name);
      }
    }
  }
  return columns;
}

std::string CellOf(const Json& row, const std::string& column) {
  return row.contains(column) ? CellText(row[column]) : "-";
}

void WriteRows(const Json& rows, std::ostream& out) {
  const auto columns = ColumnsOf(rows);
  std::vector<std::size_t> widths;
  for (const std::string& column : columns) {
    std::size_t width = column.size();
    for (const Json& row : rows) {
      width = std::max(width, CellOf(row, column).size());
    }
    widths.push_back(width + kGap);
  }
  const auto write = [&out](const std::string& text, std::size_t width) {
    out << text << std::string(width - text.size(), ' ');
  };
  for (std::size_t i = 0; i < columns.size(); ++i) write(columns[i], widths[i]);
  out << '\n';
  for (const Json& row : rows) {
    for (std::size_t i = 0; i < columns.size(); ++i) {
      write(CellOf(row, columns[i]), widths[i]);
    }
    out << '\n';
  }
}

bool IsTable(const Json& json) {
  return json.is_array() &&
         std::all_of(json.begin(), json.end(),
                     [](const Json& row) { return row.is_object(); });
}

}  // namespace

void WriteTable(const Json& json, std::ostream& out) {
  if (IsTable(json)) {
    WriteRows(json, out);
    return;
  }
  if (!json.is_object()) {
    out << CellText(json) << '\n';
    return;
  }
  for (const auto& [name, value] : json.items()) {
    if (!IsTable(value)) out << name << ": " << CellText(value) << '\n';
  }
  for (const auto& [name, value] : json.items()) {
    if (!IsTable(value)) continue;
    out << '\n' << name << ": " << value.size() << '\n';
    WriteRows(value, out);
  }
}

}  // namespace yuccamoor
