/// \file
/// \brief One idempotency shard: what becomes of each request. Replies are
/// taken in idempotency_replies.cc, writes composed in idempotency_write.cc.

#include "yuccamoor/coordination/request/idempotency_shard.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace yuccamoor {
namespace {

/// When a caller may ask again for a key that is in use.
constexpr DurationMs kRunningRetryAfter{500};
/// When a caller may try again after the service failed.
constexpr DurationMs kServiceRetryAfter{1'000};

DurationMs RetryAfterOf(ShardRefusal refusal) {
  switch (refusal) {
    case ShardRefusal::kRunning:
      return kRunningRetryAfter;
    case ShardRefusal::kServiceDown:
    case ShardRefusal::kShardFull:
      return kServiceRetryAfter;
    default:
      return DurationMs(0);
  }
}

ShardRefuse Refusal(const ShardBegin& begin, ShardRefusal reason) {
  const Outcome outcome = OutcomeOf(reason, !begin.first_sent_ago);
  return {begin.key, begin.request, reason, outcome, RetryAfterOf(reason)};
}

}  // namespace

std::string_view ShardRefusalName(ShardRefusal refusal) {
  switch (refusal) {
    case ShardRefusal::kRunning:
      return "running";
    case ShardRefusal::kOutcomeUnknown:
      return "outcome_unknown";
    case ShardRefusal::kBodyMismatch:
      return "body_mismatch";
    case ShardRefusal::kServiceDown:
      return "key_value_service_down";
    case ShardRefusal::kPastRetention:
      return "past_retention";
    case ShardRefusal::kShardFull:
      return "shard_full";
    case ShardRefusal::kInvalidKey:
      break;
  }
  return "invalid_key";
}

Outcome OutcomeOf(ShardRefusal refusal, bool first_sending) {
  if (!first_sending) return Outcome::kUnknown;
  switch (refusal) {
    case ShardRefusal::kServiceDown:
    case ShardRefusal::kShardFull:
    case ShardRefusal::kInvalidKey:
      return Outcome::kNotRun;
    default:
      return Outcome::kUnknown;
  }
}

Result<std::unique_ptr<IdempotencyShard>> IdempotencyShard::Create(
    ShardOptions options, ShardOwner owner, const ShardRecordCodec& codec) {
  Findings findings;
  if (options.record_key.empty()) {
    findings.Add(Place{}, "a shard needs the key of its record");
  }
  if (options.max_record_bytes > kKvMaxValueBytes) {
    findings.Add(Place{}, "max_record_bytes is more than a value can hold");
  }
  if (options.max_answer_bytes * 2 > options.max_record_bytes) {
    findings.Add(Place{}, "max_answer_bytes leaves no room in the record");
  }
  if (options.seal_bytes * 2 > options.max_record_bytes) {
    findings.Add(Place{}, "seal_bytes leaves no room for open intents");
  }
  if (owner.node.empty()) findings.Add(Place{}, "the owner has no node id");
  if (!findings.empty()) return findings;
  return std::unique_ptr<IdempotencyShard>(
      new IdempotencyShard(std::move(options), std::move(owner), codec));
}

IdempotencyShard::IdempotencyShard(ShardOptions options, ShardOwner owner,
                                   const ShardRecordCodec& codec)
    : m_options(std::move(options)), m_owner(std::move(owner)), m_codec(codec) {
  if (m_owner.incarnation > Incarnation(0)) {
    m_gone[m_owner.node] = Incarnation(m_owner.incarnation.value() - 1);
  }
}

ShardActions IdempotencyShard::Begin(const ShardBegin& begin, TimeMs now) {
  ShardActions actions;
  if (!IsValidKey(begin.key)) {
    actions.push_back(Refusal(begin, ShardRefusal::kInvalidKey));
    return actions;
  }
  if (AnswerFromWaiting(begin, actions)) return actions;
  if (AnswerFromRunning(begin, actions)) return actions;
  if (m_waiting.size() >= m_options.max_waiting) {
    actions.push_back(Refusal(begin, ShardRefusal::kShardFull));
    return actions;
  }
  Waiting waiting;
  waiting.begin = begin;
  waiting.since = now;
  waiting.nonce = {m_owner, ++m_last_nonce};
  waiting.arrived_after = m_call_number;
  if (!SettleWaiting(waiting, now, actions)) {
    m_waiting.emplace(begin.key, std::move(waiting));
  }
  Advance(now, actions);
  return actions;
}

bool IdempotencyShard::AnswerFromWaiting(const ShardBegin& begin,
                                         ShardActions& actions) const {
  const auto found = m_waiting.find(begin.key);
  if (found == m_waiting.end()) return false;
  const bool same = found->second.begin.body_hash == begin.body_hash;
  actions.push_back(Refusal(
      begin, same ? ShardRefusal::kRunning : ShardRefusal::kBodyMismatch));
  return true;
}

bool IdempotencyShard::AnswerFromRunning(const ShardBegin& begin,
                                         ShardActions& actions) const {
  const auto found = m_running.find(begin.key);
  if (found == m_running.end()) return false;
  const Running& running = found->second;
  // The next write frees the key for this request.
  if (running.outcome == Outcome::kNotRun) return false;
  if (running.body_hash != begin.body_hash) {
    actions.push_back(Refusal(begin, ShardRefusal::kBodyMismatch));
  } else if (!running.outcome) {
    actions.push_back(Refusal(begin, ShardRefusal::kRunning));
  } else if (*running.outcome == Outcome::kAnswered) {
    actions.push_back(ShardReplay{begin.key, begin.request, running.answer});
  } else {
    actions.push_back(Refusal(begin, ShardRefusal::kOutcomeUnknown));
  }
  return true;
}

ShardActions IdempotencyShard::Finish(const IdempotencyKey& key,
                                      Outcome outcome, StoredAnswer answer,
                                      TimeMs now) {
  const auto found = m_running.find(key);
  if (found == m_running.end() || found->second.outcome) {
    throw std::logic_error("the key's request does not run here");
  }
  if (answer.body.size() > m_options.max_answer_bytes) {
    answer.body.clear();
    answer.body_kept = false;
  }
  found->second.outcome = outcome;
  found->second.answer = std::move(answer);
  ShardActions actions;
  Advance(now, actions);
  return actions;
}

ShardActions IdempotencyShard::OnOwnerGone(const NodeId& node,
                                           Incarnation up_to, TimeMs now) {
  ShardActions actions;
  if (node == m_owner.node && up_to >= m_owner.incarnation) return actions;
  Incarnation& known = m_gone[node];
  known = std::max(known, up_to);
  if (m_record) Adopt(std::move(*m_record), m_version, now);
  Advance(now, actions);
  return actions;
}

void IdempotencyShard::SettleAll(TimeMs now, ShardActions& actions) {
  for (auto it = m_waiting.begin(); it != m_waiting.end();) {
    const bool settled = SettleWaiting(it->second, now, actions);
    it = settled ? m_waiting.erase(it) : std::next(it);
  }
}

bool IdempotencyShard::SettleWaiting(Waiting& waiting, TimeMs now,
                                     ShardActions& actions) {
  const ShardBegin& begin = waiting.begin;
  if (const ShardEntry* entry = FindEntry(begin.key)) {
    if (SettleFromEntry(waiting, *entry, now, actions)) return true;
  } else if (m_record && m_segments.Complete()) {
    if (RefuseAbsent(waiting, now, actions)) return true;
  }
  if (now < begin.deadline && now - waiting.since < m_options.max_commit_wait) {
    return false;
  }
  actions.push_back(Refusal(begin, waiting.needs_read
                                       ? ShardRefusal::kRunning
                                       : ShardRefusal::kServiceDown));
  return true;
}

const ShardEntry* IdempotencyShard::FindEntry(const IdempotencyKey& key) const {
  if (!m_record) return nullptr;
  const auto entry = m_record->entries.find(key);
  if (entry != m_record->entries.end()) return &entry->second;
  return m_segments.Find(key);
}

bool IdempotencyShard::RefuseAbsent(Waiting& waiting, TimeMs now,
                                    ShardActions& actions) const {
  const ShardBegin& begin = waiting.begin;
  waiting.needs_read = false;
  if (begin.first_sent_ago >= m_options.retention) {
    actions.push_back(Refusal(begin, ShardRefusal::kPastRetention));
    return true;
  }
  if (RotationDue(now) || m_needs_clean_up) return false;
  const std::size_t bytes = ReservedBytes(begin.key, ShardEntry{});
  if (m_record_bytes + bytes <= m_options.max_record_bytes) return false;
  actions.push_back(Refusal(begin, ShardRefusal::kShardFull));
  return true;
}

bool IdempotencyShard::SettleFromEntry(Waiting& waiting,
                                       const ShardEntry& entry, TimeMs now,
                                       ShardActions& actions) {
  const ShardBegin& begin = waiting.begin;
  if (entry.nonce == waiting.nonce) {
    DispatchOrRefuse(waiting, entry, now, actions);
    return true;
  }
  if (IsAbandoned(begin.key, entry)) return false;
  if (entry.body_hash != begin.body_hash) {
    actions.push_back(Refusal(begin, ShardRefusal::kBodyMismatch));
    return true;
  }
  if (entry.state == EntryState::kAnswered) {
    actions.push_back(ShardReplay{begin.key, begin.request, entry.answer});
    return true;
  }
  waiting.needs_read = m_fresh_call <= waiting.arrived_after;
  if (waiting.needs_read) return false;
  if (entry.state == EntryState::kUnknown || IsOwnerGone(entry.nonce.owner)) {
    actions.push_back(Refusal(begin, ShardRefusal::kOutcomeUnknown));
    return true;
  }
  const auto seen = m_foreign_seen.find(entry.nonce);
  const bool old = seen != m_foreign_seen.end() &&
                   now - seen->second >= m_options.running_grace;
  actions.push_back(Refusal(
      begin, old ? ShardRefusal::kOutcomeUnknown : ShardRefusal::kRunning));
  return true;
}

void IdempotencyShard::DispatchOrRefuse(const Waiting& waiting,
                                        const ShardEntry& entry, TimeMs now,
                                        ShardActions& actions) {
  const ShardBegin& begin = waiting.begin;
  const bool open = entry.state == EntryState::kIntent;
  // Another gateway may already have said that the outcome is unknown.
  if (now >= begin.deadline || !open) {
    actions.push_back(Refusal(begin, ShardRefusal::kServiceDown));
    m_needs_clean_up |= open;
    return;
  }
  Running running;
  running.nonce = waiting.nonce;
  running.body_hash = begin.body_hash;
  m_running[begin.key] = std::move(running);
  actions.push_back(ShardDispatch{begin.key, begin.request});
}

ShardActions IdempotencyShard::Tick(TimeMs now) {
  ShardActions actions;
  SettleAll(now, actions);
  Advance(now, actions);
  return actions;
}

bool IdempotencyShard::Idle() const {
  return m_waiting.empty() && m_running.empty() && m_call == CallKind::kNone;
}

}  // namespace yuccamoor
