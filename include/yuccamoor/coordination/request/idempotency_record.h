/// \file
/// \brief The record of one idempotency shard in the key-value service, and
/// the interface of its codec.

#ifndef YUCCAMOOR_COORDINATION_REQUEST_IDEMPOTENCY_RECORD_H_
#define YUCCAMOOR_COORDINATION_REQUEST_IDEMPOTENCY_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "yuccamoor/state/ids.h"
#include "yuccamoor/state/key_value.h"

namespace yuccamoor {

/// The number of one retention period of a shard; grows with each rotation.
using Generation = NumberId<struct GenerationTag>;
/// A hash of a request's method, path and body.
using BodyHash = NumberId<struct BodyHashTag>;

/// One life of one gateway. The salt is random, so that two lives never
/// compare equal even if the incarnation was given out twice.
struct ShardOwner {
  NodeId node;
  Incarnation incarnation;
  std::uint64_t salt = 0;

  friend auto operator<=>(const ShardOwner&, const ShardOwner&) = default;
};

/// The right to dispatch a request once. Never used for another attempt.
struct AttemptNonce {
  ShardOwner owner;
  std::uint64_t number = 0;

  friend auto operator<=>(const AttemptNonce&, const AttemptNonce&) = default;
};

/// An endpoint's answer as it is kept for repeats.
struct StoredAnswer {
  int status = 0;
  std::string content_type;
  std::string body;
  /// False: the body was too large to keep.
  bool body_kept = true;

  friend bool operator==(const StoredAnswer&, const StoredAnswer&) = default;
};

/// What the record says of a key.
enum class EntryState : std::uint8_t {
  /// The holder of the nonce may dispatch, or has dispatched.
  kIntent,
  kAnswered,
  /// It may have run, and its answer will never be known.
  kUnknown,
};

/// One key.
struct ShardEntry {
  BodyHash body_hash;
  EntryState state = EntryState::kIntent;
  AttemptNonce nonce;
  /// The retention period in which the entry ended; unused for intents.
  Generation ended;
  StoredAnswer answer;

  friend bool operator==(const ShardEntry&, const ShardEntry&) = default;
};

/// The name of one segment; its key is the record's with "/" and the name.
using SegmentName = StringId<struct SegmentNameTag>;

/// A segment as its record names it. Its value never changes.
struct SegmentRef {
  SegmentName name;
  KvVersion version;
  /// The retention period in which the segment was named; none of its entries
  /// ended later.
  Generation generation;

  friend bool operator==(const SegmentRef&, const SegmentRef&) = default;
};

/// The whole record of one shard. A segment's value is a record with entries
/// only.
struct ShardRecord {
  Generation generation;
  std::map<IdempotencyKey, ShardEntry> entries;
  /// Where ended entries went, oldest first.
  std::vector<SegmentRef> segments;
  /// The process that may write the next segment, so that none is written
  /// without a record that knows of it.
  std::optional<AttemptNonce> claim;
  /// Segments that are no longer part of the shard and wait for deletion. A
  /// version of zero is not known.
  std::vector<SegmentRef> garbage;

  friend bool operator==(const ShardRecord&, const ShardRecord&) = default;
};

/// Returns the name of the segment that the claim's holder writes.
SegmentName SegmentNameOf(const AttemptNonce& claim);

/// Returns an upper bound of the entry's encoded size in bytes. Bodies grow by
/// a third, since the record's text holds them in base64.
std::size_t EncodedBytesBound(const IdempotencyKey& key,
                              const ShardEntry& entry);

/// Whether callers may use this key: 1 to 128 visible ASCII characters other
/// than the quotation mark and the backslash.
bool IsValidKey(const IdempotencyKey& key);

/// Converts records to and from the values of the key-value service.
class ShardRecordCodec {
 public:
  virtual ~ShardRecordCodec() = default;

  virtual std::string Encode(const ShardRecord& record) const = 0;
  /// Returns nothing if the value is no record.
  virtual std::optional<ShardRecord> Decode(const std::string& value) const = 0;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_REQUEST_IDEMPOTENCY_RECORD_H_
