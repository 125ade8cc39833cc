/// \file
/// \brief Merging of owners' parts and their split into segments.

#include "yuccamoor/coordination/config/config_content.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <utility>

#include "yuccamoor/state/stable_hash.h"

namespace yuccamoor {
namespace {

bool ById(const AdapterConfig& a, const AdapterConfig& b) {
  return a.id < b.id;
}

/// An adapter with the hash that picks its bucket.
struct HashedAdapter {
  std::uint64_t hash = 0;
  const AdapterConfig* adapter = nullptr;
};

using HashedIterator = std::vector<HashedAdapter>::const_iterator;

/// An estimate of an encoded adapter's size. It depends on the adapter alone,
/// so that the split does.
std::size_t EstimateBytes(const AdapterConfig& adapter) {
  constexpr std::size_t kPerRow = 14;
  constexpr std::size_t kPerVersion = 3;
  std::size_t bytes = kPerRow + adapter.id.str().size() +
                      adapter.cell.str().size() + adapter.owner.str().size();
  for (const VersionId& v : adapter.versions) {
    bytes += kPerVersion + v.str().size();
  }
  return bytes;
}

/// Splits adapters, sorted by hash, into buckets of bounded size by halving the
/// range of hashes. A bucket's range depends only on the adapters in it and its
/// sibling, so that a change touches one bucket or two.
class BucketSplitter {
 public:
  BucketSplitter(const ConfigCodec& codec, EncodedConfig& encoded)
      : m_codec(codec), m_encoded(encoded) {}

  void Split(HashedIterator first, HashedIterator last,
             std::uint64_t first_hash, std::uint64_t half_range) {
    std::size_t bytes = 0;
    for (auto it = first; it != last; ++it)
      bytes += EstimateBytes(*it->adapter);
    if (bytes <= kConfigSegmentBytes || half_range == 0 ||
        std::distance(first, last) <= 1) {
      Add(first, last, first_hash);
      return;
    }
    const std::uint64_t middle = first_hash + half_range;
    const auto cut = std::partition_point(
        first, last,
        [middle](const HashedAdapter& a) { return a.hash < middle; });
    Split(first, cut, first_hash, half_range / 2);
    Split(cut, last, middle, half_range / 2);
  }

 private:
  void Add(HashedIterator first, HashedIterator last,
           std::uint64_t first_hash) {
    std::vector<AdapterConfig> adapters;
    for (auto it = first; it != last; ++it) adapters.push_back(*it->adapter);
    std::sort(adapters.begin(), adapters.end(), ById);
    std::string bytes = m_codec.EncodeAdapters(adapters);
    const SegmentHash hash = HashSegment(bytes);
    m_encoded.manifest.buckets.push_back({first_hash, hash});
    m_encoded.segments.emplace(hash, std::move(bytes));
  }

  const ConfigCodec& m_codec;
  EncodedConfig& m_encoded;
};

void EncodeAdapterBuckets(const ConfigUnits& units, const ConfigCodec& codec,
                          EncodedConfig& encoded) {
  constexpr std::uint64_t kHalfOfAllHashes = std::uint64_t{1} << 63U;
  std::vector<HashedAdapter> hashed;
  for (const auto& [owner, unit] : units) {
    for (const AdapterConfig& adapter : unit.adapters) {
      hashed.push_back({StableBucketHash(adapter.id.str()), &adapter});
    }
  }
  std::sort(hashed.begin(), hashed.end(), [](const auto& a, const auto& b) {
    return a.hash != b.hash ? a.hash < b.hash : a.adapter->id < b.adapter->id;
  });
  BucketSplitter(codec, encoded)
      .Split(hashed.cbegin(), hashed.cend(), 0, kHalfOfAllHashes);
}

}  // namespace

void ApplyChange(const ConfigChange& change, ConfigUnits& units) {
  for (const OwnerId& owner : change.removals) units.erase(owner);
  for (const ConfigUnit& unit : change.draft.units) units[unit.owner] = unit;
}

SegmentHash DigestUnit(ConfigUnit& unit, const ConfigCodec& codec) {
  std::sort(unit.adapters.begin(), unit.adapters.end(), ById);
  return HashSegment(codec.EncodeUnit(unit) +
                     codec.EncodeAdapters(unit.adapters));
}

EncodedConfig EncodeConfig(ConfigUnits& units, const Manifest& earlier,
                           Revision revision, const PublisherId& publisher,
                           const ConfigCodec& codec) {
  EncodedConfig encoded;
  for (auto& [owner, unit] : units) {
    ManifestUnit entry;
    entry.owner = owner;
    entry.digest = DigestUnit(unit, codec);
    std::string bytes = codec.EncodeUnit(unit);
    entry.segment = HashSegment(bytes);
    const ManifestUnit* before = FindUnit(earlier, owner);
    const bool same = before != nullptr && before->digest == entry.digest;
    entry.revision = same ? before->revision : revision;
    entry.publisher = same ? before->publisher : publisher;
    encoded.manifest.units.push_back(std::move(entry));
    encoded.segments.emplace(encoded.manifest.units.back().segment,
                             std::move(bytes));
  }
  EncodeAdapterBuckets(units, codec, encoded);
  return encoded;
}

}  // namespace yuccamoor
