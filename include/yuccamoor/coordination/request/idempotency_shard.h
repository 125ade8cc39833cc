/// \file
/// \brief At most once for non-idempotent requests: one shard of the table of
/// idempotency keys, kept in one record of the key-value service.
///
/// A request is dispatched only after its intent, with a nonce that no other
/// process can hold, is in the record by compare-and-swap. Nothing else gives
/// the right to dispatch: no lease, no clock, no home. A shard has a home
/// gateway only so that writes do not contend; any gateway may open any shard.
/// Intents and outcomes that gather while a write is under way share the next.
///
/// The record is rewritten with every commit and so stays small: ended keys
/// move on to segments, values of their own that never change, which the record
/// names. A key is in the shard if it is in the record or in a named segment;
/// only a swap of the record changes that.

#ifndef YUCCAMOOR_COORDINATION_REQUEST_IDEMPOTENCY_SHARD_H_
#define YUCCAMOOR_COORDINATION_REQUEST_IDEMPOTENCY_SHARD_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "yuccamoor/coordination/request/idempotency_messages.h"
#include "yuccamoor/coordination/request/idempotency_record.h"
#include "yuccamoor/coordination/request/outcome.h"
#include "yuccamoor/coordination/request/shard_segments.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"
#include "yuccamoor/state/key_value.h"
#include "yuccamoor/state/result.h"

namespace yuccamoor {

/// One shard as one gateway sees it. Not safe to use from several threads.
class IdempotencyShard {
 public:
  /// The codec outlives the shard. Options without a record key, or whose
  /// sizes cannot hold one entry, are reported.
  static Result<std::unique_ptr<IdempotencyShard>> Create(
      ShardOptions options, ShardOwner owner, const ShardRecordCodec& codec);

  /// Takes a request. Each ends in exactly one dispatch, replay or refusal.
  ShardActions Begin(const ShardBegin& begin, TimeMs now);

  /// Ends a dispatched request. kNotRun frees the key for a repeat; kAnswered
  /// keeps the answer; kUnknown keeps the key from being run again.
  ShardActions Finish(const IdempotencyKey& key, Outcome outcome,
                      StoredAnswer answer, TimeMs now);

  /// Takes the reply to a call. Replies to other calls than the last one are
  /// ignored.
  ShardActions OnKvReply(std::uint64_t number, const KvReply& reply,
                         TimeMs now);

  /// The process is known to have ended: its VM is gone or it runs a later
  /// incarnation. Its open intents become unknown and may age out.
  ShardActions OnOwnerGone(const NodeId& node, Incarnation up_to, TimeMs now);

  /// Called every few milliseconds while NextTick says so.
  ShardActions Tick(TimeMs now);

  /// When Tick has something to do, or TimeMs::Never().
  TimeMs NextTick(TimeMs now) const;

  /// Whether nothing waits, runs or is still to be written.
  bool Idle() const;

  /// Compare-and-swap calls issued so far.
  std::uint64_t writes() const { return m_writes; }

 private:
  /// A request that waits for the record or for its commit.
  struct Waiting {
    ShardBegin begin;
    TimeMs since;
    AttemptNonce nonce;
    /// Calls after this number see what was in force at its arrival.
    std::uint64_t arrived_after = 0;
    /// Another gateway's intent holds the key by a record that may be old.
    bool needs_read = false;
  };
  /// A dispatched request, and its end while that is not yet written.
  struct Running {
    AttemptNonce nonce;
    BodyHash body_hash;
    std::optional<Outcome> outcome;
    StoredAnswer answer;
  };
  enum class CallKind : std::uint8_t {
    kNone,
    kRead,
    kWrite,
    kLoadSegment,
    kWriteSegment,
    kFindGarbage,
    kDeleteGarbage,
  };
  /// How far this process has come with a segment of its own.
  enum class SealPhase : std::uint8_t { kNone, kClaim, kWrite, kName };

  IdempotencyShard(ShardOptions options, ShardOwner owner,
                   const ShardRecordCodec& codec);

  bool AnswerFromRunning(const ShardBegin& begin, ShardActions& actions) const;
  bool AnswerFromWaiting(const ShardBegin& begin, ShardActions& actions) const;
  bool SettleWaiting(Waiting& waiting, TimeMs now, ShardActions& actions);
  const ShardEntry* FindEntry(const IdempotencyKey& key) const;
  bool RefuseAbsent(Waiting& waiting, TimeMs now, ShardActions& actions) const;
  bool SettleFromEntry(Waiting& waiting, const ShardEntry& entry, TimeMs now,
                       ShardActions& actions);
  void SettleAll(TimeMs now, ShardActions& actions);
  void DispatchOrRefuse(const Waiting& waiting, const ShardEntry& entry,
                        TimeMs now, ShardActions& actions);

  void OnReadReply(const KvReply& reply, TimeMs now);
  void OnWriteReply(const KvReply& reply, TimeMs now);
  bool AdoptEntry(const KvEntry& entry, TimeMs now);
  void Adopt(ShardRecord record, KvVersion version, TimeMs now);
  void DropWritten();

  void AdvanceSeal(TimeMs now);
  bool MayClaim(TimeMs now) const;
  SegmentName OwnSegment() const;
  bool StartSegmentCall(ShardActions& actions);
  void OnSegmentLoaded(const KvReply& reply, TimeMs now);
  void OnSegmentWritten(const KvReply& reply, TimeMs now);
  void OnGarbageReply(const KvReply& reply, TimeMs now);

  void Advance(TimeMs now, ShardActions& actions);
  void StartCall(CallKind kind, KvRequest request, ShardActions& actions);
  void StartRead(ShardActions& actions);
  void StartWrite(TimeMs now, ShardActions& actions);
  bool WantsWrite(TimeMs now) const;
  bool RotationDue(TimeMs now) const;
  bool IsAbandoned(const IdempotencyKey& key, const ShardEntry& entry) const;
  bool IsOwnerGone(const ShardOwner& owner) const;

  ShardRecord Compose(TimeMs now) const;
  void Rotate(ShardRecord& record) const;
  void CleanUp(ShardRecord& record) const;
  void WriteOutcomes(ShardRecord& record) const;
  void WriteSeal(ShardRecord& record) const;
  void DropGarbage(ShardRecord& record) const;
  void AddIntents(ShardRecord& record) const;
  std::size_t ReservedBytes(const IdempotencyKey& key,
                            const ShardEntry& entry) const;

  const ShardOptions m_options;
  const ShardOwner m_owner;
  const ShardRecordCodec& m_codec;

  /// The newest record known, and its version; unset before the first read.
  std::optional<ShardRecord> m_record;
  KvVersion m_version;
  std::size_t m_record_bytes = 0;
  /// What the record holds, found when it was adopted.
  bool m_has_ended = false;
  bool m_needs_clean_up = false;
  /// Since when this process has seen the record's generation in force.
  TimeMs m_generation_seen;
  /// Bytes of the record's ended entries.
  std::size_t m_ended_bytes = 0;
  /// The segments that the record names.
  ShardSegments m_segments;

  SealPhase m_seal_phase = SealPhase::kNone;
  AttemptNonce m_seal_nonce;
  /// The entries of the segment under way, and its version once written.
  ShardRecord m_seal;
  KvVersion m_seal_version;
  /// Since when another process has held the claim to write a segment.
  AttemptNonce m_claim;
  TimeMs m_claim_seen;
  /// The garbage that the call under way concerns, and what is deleted.
  SegmentRef m_garbage;
  std::set<SegmentName> m_deleted;

  /// When each intent of another process was first seen.
  std::map<AttemptNonce, TimeMs> m_foreign_seen;

  std::map<IdempotencyKey, Waiting> m_waiting;
  std::map<IdempotencyKey, Running> m_running;
  /// For each node, the last incarnation known to have ended.
  std::map<NodeId, Incarnation> m_gone;

  CallKind m_call = CallKind::kNone;
  std::uint64_t m_call_number = 0;
  /// The last call whose reply showed the record in force.
  std::uint64_t m_fresh_call = 0;
  /// The record of the write under way.
  ShardRecord m_written;
  /// The record is not known, or the last write may have taken effect.
  bool m_must_read = true;
  TimeMs m_last_write;
  TimeMs m_write_wanted = TimeMs::Never();
  TimeMs m_paused_until;
  std::uint64_t m_last_nonce = 0;
  std::uint64_t m_writes = 0;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_REQUEST_IDEMPOTENCY_SHARD_H_
