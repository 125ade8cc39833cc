/// \file
/// \brief A table of decoded segments and the assembly of snapshots from it.

#ifndef YUCCAMOOR_COORDINATION_CONFIG_CONFIG_SEGMENTS_H_
#define YUCCAMOOR_COORDINATION_CONFIG_CONFIG_SEGMENTS_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "yuccamoor/coordination/config/config_codec.h"
#include "yuccamoor/coordination/config/config_content.h"
#include "yuccamoor/state/config_records.h"

namespace yuccamoor {

/// What a segment holds.
enum class SegmentKind : std::uint8_t { kUnit, kAdapters };

/// A segment that a manifest needs.
struct SegmentNeed {
  SegmentHash hash;
  SegmentKind kind = SegmentKind::kUnit;
};

/// Returns every segment of the manifest, in its order.
std::vector<SegmentNeed> SegmentsOf(const Manifest& manifest);

/// Holds segments by hash, checked and decoded once and shared by every
/// snapshot that needs them.
class ConfigSegments {
 public:
  explicit ConfigSegments(const ConfigCodec& codec) : m_codec(codec) {}

  /// Checks the bytes against the hash, decodes and keeps them. Returns false,
  /// and keeps nothing, if they are not what the hash names.
  bool Add(const SegmentNeed& need, std::string bytes);

  /// Returns the encoded bytes, or null.
  const std::string* Find(const SegmentHash& hash) const;

  /// Returns the segments of the manifest that are not held.
  std::vector<SegmentNeed> Missing(const Manifest& manifest) const;

  /// Builds the snapshot. Every segment must be held.
  std::shared_ptr<const ConfigSnapshot> Assemble(const Manifest& manifest,
                                                 Revision revision) const;

  /// Returns the parts of all owners. Every segment must be held.
  ConfigUnits Units(const Manifest& manifest) const;

  /// Drops the segments that neither manifest needs.
  void Retain(const Manifest& current, const Manifest& next);

  std::size_t size() const { return m_segments.size(); }

 private:
  using Adapters = std::vector<AdapterConfig>;

  /// Exactly one of `unit` and `adapters` is there.
  struct Segment {
    std::string bytes;
    std::shared_ptr<const ConfigUnit> unit;
    std::shared_ptr<const Adapters> adapters;
  };

  const ConfigCodec& m_codec;
  std::unordered_map<SegmentHash, Segment> m_segments;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_CONFIG_CONFIG_SEGMENTS_H_
