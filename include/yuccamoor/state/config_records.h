/// \file
/// \brief The records by which a published configuration is kept in the
/// key-value service: one root, a manifest per revision, and segments named by
/// the hash of their content.

#ifndef YUCCAMOOR_STATE_CONFIG_RECORDS_H_
#define YUCCAMOOR_STATE_CONFIG_RECORDS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "yuccamoor/state/config_snapshot.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor {

/// The hash of a segment's or manifest's bytes, as 32 hexadecimal digits.
using SegmentHash = StringId<struct SegmentHashTag>;
/// The person or program that publishes.
using PublisherId = StringId<struct PublisherIdTag>;
/// Names one publication; never used for another.
using PublisherNonce = StringId<struct PublisherNonceTag>;

/// The key of the root record.
constexpr char kConfigRootKey[] = "yuccamoor/config/root";
/// What the keys of segments and manifests start with.
constexpr char kConfigSegmentPrefix[] = "yuccamoor/config/segments/";
/// The most earlier publications that a root lists.
constexpr std::size_t kMaxConfigHistory = 32;
/// The size of a segment beyond which adapters are split over two, in bytes.
constexpr std::size_t kConfigSegmentBytes = 32'768;

/// One accepted publication.
struct RootEntry {
  Revision revision;
  SegmentHash manifest;
  PublisherId publisher;
  PublisherNonce nonce;

  friend bool operator==(const RootEntry&, const RootEntry&) = default;
};

/// The root record. A configuration is in force once the root names it.
struct RootRecord {
  RootEntry current;
  /// Earlier publications, newest first.
  std::vector<RootEntry> history;
  /// Counts collections of old segments; grows before each, so that a
  /// publication prepared before it cannot be accepted after it.
  std::uint64_t collections = 0;

  friend bool operator==(const RootRecord&, const RootRecord&) = default;
};

/// Returns the publication of the revision among the current and the earlier
/// ones that the root lists, or null.
const RootEntry* FindRevision(const RootRecord& root, Revision revision);

/// One owner's part of a revision.
struct ManifestUnit {
  OwnerId owner;
  /// The hash of the whole part, adapters included.
  SegmentHash digest;
  /// Holds the part's cells, services, aliases and tenants.
  SegmentHash segment;
  /// The publication that last changed the part.
  Revision revision;
  PublisherId publisher;

  friend bool operator==(const ManifestUnit&, const ManifestUnit&) = default;
};

/// One bucket of adapters.
struct ManifestBucket {
  std::uint64_t first_hash = 0;
  SegmentHash segment;

  friend bool operator==(const ManifestBucket&,
                         const ManifestBucket&) = default;
};

/// The content of one revision.
struct Manifest {
  /// Sorted by owner.
  std::vector<ManifestUnit> units;
  /// Sorted by first hash; the first one's is zero.
  std::vector<ManifestBucket> buckets;

  friend bool operator==(const Manifest&, const Manifest&) = default;
};

/// Returns the owner's entry, or null.
const ManifestUnit* FindUnit(const Manifest& manifest, const OwnerId& owner);

/// One owner's part of the configuration: what one file holds.
struct ConfigUnit {
  OwnerId owner;
  /// Where it was read, for findings.
  std::string source;
  std::vector<CellConfig> cells;
  std::vector<ServiceConfig> services;
  std::vector<AliasConfig> aliases;
  std::vector<TenantConfig> tenants;
  std::vector<AdapterConfig> adapters;
};

/// The parts to publish together, sorted by owner.
struct ConfigDraft {
  std::vector<ConfigUnit> units;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_STATE_CONFIG_RECORDS_H_
