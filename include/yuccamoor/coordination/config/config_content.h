/// \file
/// \brief The whole configuration as owners' parts: merging, checks across
/// owners, and the split into segments.

#ifndef YUCCAMOOR_COORDINATION_CONFIG_CONFIG_CONTENT_H_
#define YUCCAMOOR_COORDINATION_CONFIG_CONFIG_CONTENT_H_

#include <map>
#include <string>
#include <vector>

#include "yuccamoor/coordination/config/config_codec.h"
#include "yuccamoor/state/config_records.h"
#include "yuccamoor/state/finding.h"

namespace yuccamoor {

/// The parts of all owners.
using ConfigUnits = std::map<OwnerId, ConfigUnit>;

/// A change of configuration: owners' new parts, and owners to remove.
struct ConfigChange {
  ConfigDraft draft;
  std::vector<OwnerId> removals;
};

/// Applies the change to the parts in force.
void ApplyChange(const ConfigChange& change, ConfigUnits& units);

/// Returns what is wrong between and within the parts: names claimed twice and
/// references to what is not there.
Findings CheckUnits(const ConfigUnits& units);

/// Returns the hash of the whole part. Sorts the part's adapters by id.
SegmentHash DigestUnit(ConfigUnit& unit, const ConfigCodec& codec);

/// A manifest with the bytes of each of its segments.
struct EncodedConfig {
  Manifest manifest;
  std::map<SegmentHash, std::string> segments;
};

/// Splits the parts into segments. Depends on nothing but its arguments. Parts
/// whose digest is that of \p earlier keep its revision and publisher; the
/// others get \p revision and \p publisher.
EncodedConfig EncodeConfig(ConfigUnits& units, const Manifest& earlier,
                           Revision revision, const PublisherId& publisher,
                           const ConfigCodec& codec);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_CONFIG_CONFIG_CONTENT_H_
