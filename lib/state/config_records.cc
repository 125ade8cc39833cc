/// \file
/// \brief Lookups in configuration records.

#include "yuccamoor/state/config_records.h"

#include <algorithm>

namespace yuccamoor {

const RootEntry* FindRevision(const RootRecord& root, Revision revision) {
  if (root.current.revision == revision) return &root.current;
  const auto it = std::find_if(
      root.history.begin(), root.history.end(),
      [revision](const RootEntry& e) { return e.revision == revision; });
  return it == root.history.end() ? nullptr : &*it;
}

const ManifestUnit* FindUnit(const Manifest& manifest, const OwnerId& owner) {
  const auto it = std::lower_bound(
      manifest.units.begin(), manifest.units.end(), owner,
      [](const ManifestUnit& u, const OwnerId& o) { return u.owner < o; });
  return it != manifest.units.end() && it->owner == owner ? &*it : nullptr;
}

}  // namespace yuccamoor
