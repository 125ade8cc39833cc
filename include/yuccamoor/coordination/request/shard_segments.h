/// \file
/// \brief The loaded segments of one idempotency shard.

#ifndef YUCCAMOOR_COORDINATION_REQUEST_SHARD_SEGMENTS_H_
#define YUCCAMOOR_COORDINATION_REQUEST_SHARD_SEGMENTS_H_

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "yuccamoor/coordination/request/idempotency_record.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor {

/// Keeps in memory what the segments of a shard's record hold. Bounded by the
/// number and the size of the segments.
class ShardSegments {
 public:
  /// Takes the segments that the record names now. Others are dropped.
  void Sync(const std::vector<SegmentRef>& named);

  /// Takes a segment's value. Ignored if the record does not name it.
  void Load(const SegmentName& name, const ShardRecord& value);

  /// Whether every named segment is loaded; only then is a key that is not
  /// found known to be absent.
  bool Complete() const { return m_missing.empty(); }
  /// The next segment to load, if one is missing.
  std::optional<SegmentName> NextMissing() const;

  /// Returns the key's entry, or null.
  const ShardEntry* Find(const IdempotencyKey& key) const;

 private:
  struct Found {
    ShardEntry entry;
    SegmentName segment;
  };

  void Drop(const SegmentName& name);

  std::map<SegmentName, std::vector<IdempotencyKey>> m_loaded;
  std::vector<SegmentName> m_missing;
  std::unordered_map<IdempotencyKey, Found> m_entries;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_REQUEST_SHARD_SEGMENTS_H_
