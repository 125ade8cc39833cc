/// \file
/// \brief One idempotency shard: moving ended keys to segments, loading those
/// of others and deleting those past the retention.
///
/// A segment is claimed in the record, written, and named by the record, in
/// this order; each step of the record is a swap. A claim that another process
/// has taken over is found when the record is adopted, and its segment is
/// garbage.

#include <algorithm>
#include <utility>

#include "yuccamoor/coordination/request/idempotency_shard.h"

namespace yuccamoor {
namespace {

/// How long the claim of another process is waited for. Taking it over early
/// costs a segment written in vain.
constexpr DurationMs kClaimPatience{30'000};

}  // namespace

SegmentName IdempotencyShard::OwnSegment() const {
  return SegmentNameOf(m_seal_nonce);
}

bool IdempotencyShard::MayClaim(TimeMs now) const {
  if (m_ended_bytes < m_options.seal_bytes) return false;
  if (m_record->segments.size() >= m_options.max_segments) return false;
  if (!m_record->claim) return true;
  // A claim of this process that is not its current one came in late.
  if (m_record->claim->owner == m_owner) return true;
  return IsOwnerGone(m_record->claim->owner) ||
         now - m_claim_seen >= kClaimPatience;
}

void IdempotencyShard::AdvanceSeal(TimeMs now) {
  if (m_record->claim && *m_record->claim != m_claim) {
    m_claim = *m_record->claim;
    m_claim_seen = now;
  }
  std::erase_if(m_deleted, [this](const SegmentName& name) {
    return std::none_of(
        m_record->garbage.begin(), m_record->garbage.end(),
        [&name](const SegmentRef& ref) { return ref.name == name; });
  });
  const bool claimed = m_record->claim == m_seal_nonce;
  if (m_seal_phase == SealPhase::kClaim && claimed) {
    m_seal = ShardRecord{};
    for (const auto& [key, entry] : m_record->entries) {
      if (entry.state != EntryState::kIntent)
        m_seal.entries.emplace(key, entry);
    }
    m_seal_phase = SealPhase::kWrite;
    return;
  }
  if (m_seal_phase != SealPhase::kNone && !claimed &&
      m_seal_phase != SealPhase::kClaim) {
    // The record names the segment, or another process took over the claim.
    m_segments.Sync(m_record->segments);
    m_segments.Load(OwnSegment(), m_seal);
    m_seal = ShardRecord{};
    m_seal_phase = SealPhase::kNone;
  }
  if (m_seal_phase == SealPhase::kWrite || m_seal_phase == SealPhase::kName) {
    return;
  }
  m_seal_phase = SealPhase::kNone;
  if (!MayClaim(now)) return;
  m_seal_nonce = {m_owner, ++m_last_nonce};
  m_seal_phase = SealPhase::kClaim;
}

void IdempotencyShard::WriteSeal(ShardRecord& record) const {
  if (m_seal_phase == SealPhase::kClaim) {
    if (record.claim) {
      SegmentRef abandoned;
      abandoned.name = SegmentNameOf(*record.claim);
      record.garbage.push_back(std::move(abandoned));
    }
    record.claim = m_seal_nonce;
    return;
  }
  if (m_seal_phase != SealPhase::kName) return;
  for (const auto& [key, entry] : m_seal.entries) {
    const auto found = record.entries.find(key);
    // An entry that was brought up to date since then stays in the record.
    if (found != record.entries.end() && found->second == entry) {
      record.entries.erase(found);
    }
  }
  record.segments.push_back({OwnSegment(), m_seal_version, record.generation});
  record.claim.reset();
}

void IdempotencyShard::DropGarbage(ShardRecord& record) const {
  std::erase_if(record.garbage, [this](const SegmentRef& ref) {
    return m_deleted.contains(ref.name);
  });
}

bool IdempotencyShard::StartSegmentCall(ShardActions& actions) {
  const auto key_of = [this](const SegmentName& name) {
    return m_options.record_key + "/" + name.str();
  };
  if (const auto missing = m_segments.NextMissing()) {
    StartCall(CallKind::kLoadSegment, KvGet{key_of(*missing)}, actions);
    return true;
  }
  if (m_seal_phase == SealPhase::kWrite) {
    KvCompareAndSwap write;
    write.key = key_of(OwnSegment());
    write.value = m_codec.Encode(m_seal);
    ++m_writes;
    StartCall(CallKind::kWriteSegment, std::move(write), actions);
    return true;
  }
  if (!m_record) return false;
  for (const SegmentRef& ref : m_record->garbage) {
    if (m_deleted.contains(ref.name)) continue;
    m_garbage = ref;
    if (ref.version == KvVersion(0)) {
      StartCall(CallKind::kFindGarbage, KvGet{key_of(ref.name)}, actions);
    } else {
      KvDelete call;
      call.key = key_of(ref.name);
      call.expected = ref.version;
      ++m_writes;
      StartCall(CallKind::kDeleteGarbage, std::move(call), actions);
    }
    return true;
  }
  return false;
}

void IdempotencyShard::OnSegmentLoaded(const KvReply& reply, TimeMs now) {
  const std::optional<SegmentName> name = m_segments.NextMissing();
  if (reply.status == KvStatus::kOk && !reply.entries.empty() && name) {
    const auto value = m_codec.Decode(reply.entries.front().value);
    if (value) return m_segments.Load(*name, *value);
  }
  // The record may have dropped the segment in the meantime.
  if (reply.status == KvStatus::kNotFound) m_must_read = true;
  m_paused_until = now + m_options.failure_pause;
}

void IdempotencyShard::OnSegmentWritten(const KvReply& reply, TimeMs now) {
  if (m_seal_phase != SealPhase::kWrite) return;
  if (reply.status == KvStatus::kOk) {
    m_seal_version = reply.version;
    m_seal_phase = SealPhase::kName;
    return;
  }
  // An earlier try took effect: nobody else writes under this name.
  if (reply.status == KvStatus::kConflict && !reply.entries.empty()) {
    m_seal_version = reply.entries.front().version;
    m_seal_phase = SealPhase::kName;
    return;
  }
  m_paused_until = now + m_options.failure_pause;
}

void IdempotencyShard::OnGarbageReply(const KvReply& reply, TimeMs now) {
  const bool found = reply.status == KvStatus::kOk && !reply.entries.empty();
  if (m_garbage.version == KvVersion(0) && found) {
    // The version is known from now on; the next call deletes it.
    for (SegmentRef& ref : m_record->garbage) {
      if (ref.name != m_garbage.name) continue;
      ref.version = reply.entries.front().version;
    }
    return;
  }
  const bool gone = reply.status == KvStatus::kOk ||
                    reply.status == KvStatus::kNotFound ||
                    reply.status == KvStatus::kConflict;
  if (gone) {
    m_deleted.insert(m_garbage.name);
    return;
  }
  m_paused_until = now + m_options.failure_pause;
}

}  // namespace yuccamoor
