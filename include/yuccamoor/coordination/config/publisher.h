/// \file
/// \brief Publishes a change of configuration: writes what is missing of its
/// segments, then swaps the root record.
///
/// The publication is accepted when the root was swapped, and not before. The
/// swap's condition is the root's version, which pins three things: the parts
/// that the change was checked against, the history, and the collections of old
/// segments. Every segment that the root in force does not need is written or
/// written again after that root was read, so that a collector which saw it as
/// unused before cannot delete it any more.

#ifndef YUCCAMOOR_COORDINATION_CONFIG_PUBLISHER_H_
#define YUCCAMOOR_COORDINATION_CONFIG_PUBLISHER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "yuccamoor/coordination/backoff.h"
#include "yuccamoor/coordination/config/config_codec.h"
#include "yuccamoor/coordination/config/config_content.h"
#include "yuccamoor/coordination/config/config_segments.h"
#include "yuccamoor/coordination/config/kv_call.h"
#include "yuccamoor/state/config_records.h"

namespace yuccamoor {

/// The most calls that a publication has under way at once.
constexpr std::size_t kMaxPublisherCalls = 16;

/// How a publication ended.
enum class PublishStatus : std::uint8_t {
  kPending,
  /// In force, as the revision given.
  kAccepted,
  /// What is in force is the same already.
  kUnchanged,
  /// A dry run found nothing wrong; nothing was published.
  kWouldPublish,
  /// The checks found something; nothing was published.
  kInvalid,
  /// Another publisher changed the same owners' parts meanwhile; nothing was
  /// published.
  kOverlap,
  /// The revision to roll back to is not in the history.
  kUnknownRevision,
  /// Nothing was published, and nothing will be.
  kGaveUp,
  /// The swap was sent and its effect is not known.
  kUnknown,
};

/// The end of a publication.
struct PublishOutcome {
  PublishStatus status = PublishStatus::kPending;
  /// The revision in force after the publication, as far as it is known.
  Revision revision;
  Findings findings;
  /// On kOverlap: who published meanwhile, and which part.
  PublisherId winner;
  OwnerId overlap;
  /// After a dry run: all parts in force, and what they would become.
  ConfigUnits before;
  ConfigUnits after;
};

/// What to publish.
struct PublishRequest {
  PublisherId publisher;
  /// Unique to this publication.
  PublisherNonce nonce;
  ConfigChange change;
  /// If set, the revision to roll back to; the change is unused.
  std::optional<Revision> rollback;
  /// Checks against what is in force, without a write.
  bool dry_run = false;
};

/// One publication. Sends nothing itself: every function returns the calls to
/// make. Not safe for use from several threads.
class Publisher {
 public:
  /// \p codec must outlive the publisher. \p random is uniform in [0, 1) and
  /// shifts the waits between tries.
  Publisher(PublishRequest request, const ConfigCodec& codec, double random);

  /// Returns the first call.
  KvCalls Begin();

  /// Takes the reply to a call. Replies to forgotten calls are ignored.
  KvCalls OnReply(KvCallId id, const KvReply& reply);

  /// Ends the publication at once; whatever is not settled yet is kUnknown.
  void GiveUp();

  bool finished() const { return m_outcome.status != PublishStatus::kPending; }
  const PublishOutcome& outcome() const { return m_outcome; }

 private:
  enum class Step : std::uint8_t { kRoot, kManifest, kSegment, kWrite, kSwap };

  /// A swap of which no answer came.
  struct Unsettled {
    KvVersion root_version;
    Revision revision;
  };

  /// A call under way.
  struct Pending {
    Step step = Step::kRoot;
    SegmentHash segment;
    SegmentKind kind = SegmentKind::kUnit;
    KvRequest request;
    std::uint32_t failures = 0;
  };

  KvCall Send(Pending pending);
  KvCalls Retry(Pending pending);
  KvCalls ReadRoot();
  KvCalls OnRoot(const Pending& pending, const KvReply& reply);
  KvCalls OnManifest(const Pending& pending, const KvReply& reply);
  KvCalls OnSegment(const Pending& pending, const KvReply& reply);
  KvCalls OnWrite(Pending pending, const KvReply& reply);
  KvCalls OnSwap(const Pending& pending, const KvReply& reply);
  KvCalls UseRoot(const KvEntry& entry);
  /// Whether the root decides on an unsettled swap by ending the publication.
  bool Settle(const RootRecord& root, KvVersion version);
  KvCalls ReadNext();
  KvCalls Prepare();
  KvCalls PrepareRollback();
  bool RefuseOverlap();
  bool RefuseLargeSegments(const EncodedConfig& encoded);
  void QueueWrites(EncodedConfig encoded);
  void QueueWrite(const SegmentHash& hash, std::string bytes);
  KvCalls WriteNext();
  KvCalls Swap(std::uint32_t failures = 0);
  void End(PublishStatus status, Revision revision = {});

  PublishRequest m_request;
  const ConfigCodec& m_codec;
  double m_random;
  PublishOutcome m_outcome;

  KvCallId m_last_call;
  std::map<KvCallId, Pending> m_pending;

  ConfigSegments m_segments;
  /// The root that the publication is based on; revision zero: there is none.
  KvVersion m_root_version;
  RootRecord m_root;
  Manifest m_manifest;
  /// The manifest that the change was first checked against.
  std::optional<Manifest> m_base;
  /// The revision that a rollback was asked against.
  std::optional<Revision> m_base_revision;
  std::optional<Unsettled> m_unsettled;

  SegmentHash m_new_manifest;
  std::deque<SegmentNeed> m_reads;
  std::deque<Pending> m_writes;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_CONFIG_PUBLISHER_H_
