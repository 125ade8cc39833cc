/// \file
/// \brief One idempotency shard: when it reads and writes its record, and what
/// a write holds.

#include <algorithm>
#include <utility>

#include "yuccamoor/coordination/request/idempotency_shard.h"

namespace yuccamoor {

void IdempotencyShard::Advance(TimeMs now, ShardActions& actions) {
  const bool wants_write = WantsWrite(now);
  if (!wants_write) m_write_wanted = TimeMs::Never();
  if (wants_write) m_write_wanted = std::min(m_write_wanted, now);
  if (m_call != CallKind::kNone || now < m_paused_until) return;
  if (m_must_read) {
    if (!m_waiting.empty() || wants_write) StartRead(actions);
    return;
  }
  const TimeMs due = std::max(m_last_write + m_options.min_write_interval,
                              m_write_wanted + m_options.gather_window);
  if (wants_write && now >= due) return StartWrite(now, actions);
  if (std::any_of(m_waiting.begin(), m_waiting.end(),
                  [](const auto& item) { return item.second.needs_read; })) {
    return StartRead(actions);
  }
  StartSegmentCall(actions);
}

TimeMs IdempotencyShard::NextTick(TimeMs now) const {
  TimeMs next = TimeMs::Never();
  for (const auto& [key, waiting] : m_waiting) {
    next = std::min(next, waiting.begin.deadline);
    next = std::min(next, waiting.since + m_options.max_commit_wait);
  }
  if (m_call != CallKind::kNone) return std::max(next, now);
  const bool segment_work =
      !m_segments.Complete() || m_seal_phase == SealPhase::kWrite ||
      (m_record && m_record->garbage.size() > m_deleted.size());
  if (segment_work || (m_must_read && !m_waiting.empty())) {
    next = std::min(next, m_paused_until);
  }
  if (WantsWrite(now)) {
    TimeMs due =
        std::max(m_last_write + m_options.min_write_interval,
                 std::min(m_write_wanted, now) + m_options.gather_window);
    next = std::min(next, std::max(due, m_paused_until));
  }
  if (m_has_ended)
    next = std::min(next, m_generation_seen + m_options.retention);
  return std::max(next, now);
}

void IdempotencyShard::StartCall(CallKind kind, KvRequest request,
                                 ShardActions& actions) {
  m_call = kind;
  actions.push_back(ShardKvCall{++m_call_number, std::move(request)});
}

void IdempotencyShard::StartRead(ShardActions& actions) {
  StartCall(CallKind::kRead, KvGet{m_options.record_key}, actions);
}

void IdempotencyShard::StartWrite(TimeMs now, ShardActions& actions) {
  m_written = Compose(now);
  KvCompareAndSwap write;
  write.key = m_options.record_key;
  write.expected = m_version;
  write.value = m_codec.Encode(m_written);
  m_last_write = now;
  m_write_wanted = TimeMs::Never();
  ++m_writes;
  StartCall(CallKind::kWrite, std::move(write), actions);
}

bool IdempotencyShard::WantsWrite(TimeMs now) const {
  if (m_needs_clean_up || RotationDue(now) || !m_deleted.empty()) return true;
  if (m_seal_phase == SealPhase::kClaim || m_seal_phase == SealPhase::kName) {
    return true;
  }
  if (std::any_of(m_running.begin(), m_running.end(), [](const auto& item) {
        return item.second.outcome.has_value();
      })) {
    return true;
  }
  return std::any_of(m_waiting.begin(), m_waiting.end(),
                     [](const auto& item) { return !item.second.needs_read; });
}

bool IdempotencyShard::RotationDue(TimeMs now) const {
  return m_has_ended && now - m_generation_seen >= m_options.retention;
}

bool IdempotencyShard::IsAbandoned(const IdempotencyKey& key,
                                   const ShardEntry& entry) const {
  if (entry.state != EntryState::kIntent) return false;
  if (entry.nonce.owner != m_owner) return false;
  const auto waiting = m_waiting.find(key);
  if (waiting != m_waiting.end() && waiting->second.nonce == entry.nonce) {
    return false;
  }
  const auto running = m_running.find(key);
  if (running == m_running.end() || running->second.nonce != entry.nonce) {
    return true;
  }
  return running->second.outcome == Outcome::kNotRun;
}

bool IdempotencyShard::IsOwnerGone(const ShardOwner& owner) const {
  if (owner == m_owner) return false;
  const auto gone = m_gone.find(owner.node);
  return gone != m_gone.end() && owner.incarnation <= gone->second;
}

ShardRecord IdempotencyShard::Compose(TimeMs now) const {
  ShardRecord record = *m_record;
  if (RotationDue(now)) Rotate(record);
  CleanUp(record);
  WriteOutcomes(record);
  WriteSeal(record);
  DropGarbage(record);
  AddIntents(record);
  return record;
}

void IdempotencyShard::Rotate(ShardRecord& record) const {
  // The generation was in force for the whole retention by this process's
  // clock, and what ended before it is older still.
  const Generation old = record.generation;
  std::erase_if(record.entries, [old](const auto& item) {
    return item.second.state != EntryState::kIntent && item.second.ended < old;
  });
  std::erase_if(record.segments, [&](const SegmentRef& segment) {
    if (segment.generation >= old) return false;
    record.garbage.push_back(segment);
    return true;
  });
  record.generation = old.Next();
}

void IdempotencyShard::CleanUp(ShardRecord& record) const {
  std::erase_if(record.entries, [this](const auto& item) {
    return IsAbandoned(item.first, item.second);
  });
  for (auto& [key, entry] : record.entries) {
    if (entry.state != EntryState::kIntent) continue;
    if (!IsOwnerGone(entry.nonce.owner)) continue;
    entry.state = EntryState::kUnknown;
    entry.ended = record.generation;
  }
}

void IdempotencyShard::WriteOutcomes(ShardRecord& record) const {
  for (const auto& [key, running] : m_running) {
    if (!running.outcome) continue;
    const auto found = record.entries.find(key);
    if (found == record.entries.end()) continue;
    ShardEntry& entry = found->second;
    if (entry.nonce != running.nonce) continue;
    if (*running.outcome == Outcome::kNotRun) {
      record.entries.erase(found);
      continue;
    }
    const bool answered = *running.outcome == Outcome::kAnswered;
    entry.state = answered ? EntryState::kAnswered : EntryState::kUnknown;
    entry.answer = answered ? running.answer : StoredAnswer{};
    entry.ended = record.generation;
  }
}

void IdempotencyShard::AddIntents(ShardRecord& record) const {
  if (!m_segments.Complete()) return;
  std::size_t bytes = 0;
  for (const auto& [key, entry] : record.entries) {
    bytes += ReservedBytes(key, entry);
  }
  for (const auto& [key, waiting] : m_waiting) {
    if (record.entries.contains(key)) continue;
    if (m_segments.Find(key) != nullptr) continue;
    // What this very write seals is not in the loaded segments yet.
    if (m_seal.entries.contains(key)) continue;
    ShardEntry entry;
    entry.body_hash = waiting.begin.body_hash;
    entry.nonce = waiting.nonce;
    bytes += ReservedBytes(key, entry);
    if (bytes > m_options.max_record_bytes) return;
    record.entries.emplace(key, std::move(entry));
  }
}

std::size_t IdempotencyShard::ReservedBytes(const IdempotencyKey& key,
                                            const ShardEntry& entry) const {
  const std::size_t bytes = EncodedBytesBound(key, entry);
  if (entry.state != EntryState::kIntent) return bytes;
  return bytes + m_options.max_answer_bytes / 3 * 4;
}

}  // namespace yuccamoor
