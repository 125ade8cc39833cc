/// \file
/// \brief The record in the key-value service that says who leads a cell.

#include "yuccamoor/coordination/leadership/leadership_record.h"

#include <algorithm>

namespace yuccamoor {

bool Contains(const std::vector<Candidate>& candidates, const NodeId& id) {
  return std::any_of(candidates.begin(), candidates.end(),
                     [&](const Candidate& c) { return c.id == id; });
}

std::string LeadershipKey(const CellId& cell) {
  return "yuccamoor/cells/" + cell.str() + "/leader";
}

}  // namespace yuccamoor
