/// \file
/// \brief Implementation of the search for the nearest name.

#include "yuccamoor/protocol/nearest_name.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace yuccamoor {
namespace {

/// What is typed is looked at up to this length.
constexpr std::size_t kLongestTyped = 64;
/// Names further apart than this are no likely slip of the keyboard.
constexpr std::size_t kLikelySlip = 3;

std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 0; i < a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < b.size(); ++j) {
      const std::size_t replaced = diagonal + (a[i] == b[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({replaced, row[j] + 1, row[j + 1] + 1});
    }
  }
  return row.back();
}

}  // namespace

std::string NearestName(std::string_view typed,
                        const std::vector<std::string>& known) {
  std::string nearest;
  std::size_t distance = kLikelySlip + 1;
  for (const std::string& name : known) {
    const std::size_t d = EditDistance(typed.substr(0, kLongestTyped), name);
    if (d >= distance) continue;
    distance = d;
    nearest = name;
  }
  return nearest;
}

}  // namespace yuccamoor
