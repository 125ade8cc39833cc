/// \file
/// \brief Writes JSON as tables for people.

#ifndef YUCCAMOOR_TOOLS_YUCCAMOORCTL_TABLE_H_
#define YUCCAMOOR_TOOLS_YUCCAMOORCTL_TABLE_H_

#include <iosfwd>

#include "yuccamoor/protocol/json.h"

namespace yuccamoor {

/// Writes an array of objects as a table with a column for each member, and an
/// object as one line for each plain member, followed by a table for each
/// array.
void WriteTable(const Json& json, std::ostream& out);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TOOLS_YUCCAMOORCTL_TABLE_H_
