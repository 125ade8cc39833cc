/// \file
/// \brief The loaded segments of one idempotency shard.

#include "yuccamoor/coordination/request/shard_segments.h"

#include <algorithm>
#include <utility>

namespace yuccamoor {

void ShardSegments::Sync(const std::vector<SegmentRef>& named) {
  std::vector<SegmentName> stale;
  for (const auto& [name, keys] : m_loaded) {
    const bool kept = std::any_of(
        named.begin(), named.end(),
        [&name = name](const SegmentRef& ref) { return ref.name == name; });
    if (!kept) stale.push_back(name);
  }
  for (const SegmentName& name : stale) Drop(name);
  m_missing.clear();
  for (const SegmentRef& ref : named) {
    if (!m_loaded.contains(ref.name)) m_missing.push_back(ref.name);
  }
}

void ShardSegments::Drop(const SegmentName& name) {
  const auto loaded = m_loaded.find(name);
  for (const IdempotencyKey& key : loaded->second) {
    const auto found = m_entries.find(key);
    // A later segment may hold the key by now.
    if (found != m_entries.end() && found->second.segment == name) {
      m_entries.erase(found);
    }
  }
  m_loaded.erase(loaded);
}

void ShardSegments::Load(const SegmentName& name, const ShardRecord& value) {
  if (std::erase(m_missing, name) == 0) return;
  std::vector<IdempotencyKey>& keys = m_loaded[name];
  for (const auto& [key, entry] : value.entries) {
    keys.push_back(key);
    m_entries.insert_or_assign(key, Found{entry, name});
  }
}

std::optional<SegmentName> ShardSegments::NextMissing() const {
  if (m_missing.empty()) return std::nullopt;
  return m_missing.front();
}

const ShardEntry* ShardSegments::Find(const IdempotencyKey& key) const {
  const auto found = m_entries.find(key);
  return found == m_entries.end() ? nullptr : &found->second.entry;
}

}  // namespace yuccamoor
