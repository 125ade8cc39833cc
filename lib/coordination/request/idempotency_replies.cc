/// \file
/// \brief One idempotency shard: replies of the key-value service and the
/// record that they show.

#include <utility>

#include "yuccamoor/coordination/request/idempotency_shard.h"

namespace yuccamoor {
namespace {

/// A segment's name, version and generation as the record holds them.
constexpr std::size_t kSegmentRefBytes = 160;

}  // namespace

ShardActions IdempotencyShard::OnKvReply(std::uint64_t number,
                                         const KvReply& reply, TimeMs now) {
  ShardActions actions;
  if (m_call == CallKind::kNone || number != m_call_number) return actions;
  const CallKind kind = std::exchange(m_call, CallKind::kNone);
  switch (kind) {
    case CallKind::kRead:
      OnReadReply(reply, now);
      break;
    case CallKind::kWrite:
      OnWriteReply(reply, now);
      break;
    case CallKind::kLoadSegment:
      OnSegmentLoaded(reply, now);
      break;
    case CallKind::kWriteSegment:
      OnSegmentWritten(reply, now);
      break;
    default:
      OnGarbageReply(reply, now);
      break;
  }
  DropWritten();
  SettleAll(now, actions);
  Advance(now, actions);
  return actions;
}

void IdempotencyShard::OnReadReply(const KvReply& reply, TimeMs now) {
  if (reply.status == KvStatus::kOk && !reply.entries.empty() &&
      AdoptEntry(reply.entries.front(), now)) {
    return;
  }
  const bool absent = reply.status == KvStatus::kNotFound ||
                      (reply.status == KvStatus::kOk && reply.entries.empty());
  // A record that was there is never deleted: such a reply is too old.
  if (absent && m_version == KvVersion(0)) {
    Adopt(ShardRecord{}, KvVersion(0), now);
    m_must_read = false;
    m_fresh_call = m_call_number;
    return;
  }
  m_paused_until = now + m_options.failure_pause;
}

void IdempotencyShard::OnWriteReply(const KvReply& reply, TimeMs now) {
  switch (reply.status) {
    case KvStatus::kOk:
      Adopt(std::exchange(m_written, ShardRecord{}), reply.version, now);
      m_fresh_call = m_call_number;
      return;
    case KvStatus::kConflict:
      m_must_read = true;
      if (!reply.entries.empty()) AdoptEntry(reply.entries.front(), now);
      return;
    case KvStatus::kUnknown:
      m_must_read = true;
      break;
    default:
      break;
  }
  m_paused_until = now + m_options.failure_pause;
}

bool IdempotencyShard::AdoptEntry(const KvEntry& entry, TimeMs now) {
  if (entry.version < m_version) return false;
  std::optional<ShardRecord> record = m_codec.Decode(entry.value);
  if (!record) return false;
  Adopt(std::move(*record), entry.version, now);
  m_must_read = false;
  m_fresh_call = m_call_number;
  return true;
}

void IdempotencyShard::Adopt(ShardRecord record, KvVersion version,
                             TimeMs now) {
  if (!m_record || m_record->generation != record.generation) {
    m_generation_seen = now;
  }
  m_has_ended = !record.segments.empty();
  m_needs_clean_up = false;
  m_record_bytes =
      kSegmentRefBytes * (record.segments.size() + record.garbage.size());
  m_ended_bytes = 0;
  std::map<AttemptNonce, TimeMs> seen;
  for (const auto& [key, entry] : record.entries) {
    const std::size_t bytes = ReservedBytes(key, entry);
    m_record_bytes += bytes;
    if (entry.state != EntryState::kIntent) {
      m_has_ended = true;
      m_ended_bytes += bytes;
      continue;
    }
    if (IsAbandoned(key, entry) || IsOwnerGone(entry.nonce.owner)) {
      m_needs_clean_up = true;
    }
    if (entry.nonce.owner == m_owner) continue;
    const auto known = m_foreign_seen.find(entry.nonce);
    seen[entry.nonce] = known == m_foreign_seen.end() ? now : known->second;
  }
  m_foreign_seen = std::move(seen);
  m_record = std::move(record);
  m_version = version;
  AdvanceSeal(now);
  m_segments.Sync(m_record->segments);
}

void IdempotencyShard::DropWritten() {
  if (!m_record) return;
  std::erase_if(m_running, [this](const auto& item) {
    const auto& [key, running] = item;
    if (!running.outcome) return false;
    const auto entry = m_record->entries.find(key);
    if (entry == m_record->entries.end()) return true;
    if (entry->second.nonce != running.nonce) return true;
    switch (*running.outcome) {
      case Outcome::kAnswered:
        return entry->second.state == EntryState::kAnswered;
      case Outcome::kUnknown:
        return entry->second.state == EntryState::kUnknown;
      case Outcome::kNotRun:
        break;
    }
    return false;
  });
}

}  // namespace yuccamoor
