/// \file
/// \brief Leadership of one cell as seen by one candidate.

#include "yuccamoor/coordination/leadership/election.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace yuccamoor {
namespace {

/// Writes that are remembered until they are settled.
constexpr std::size_t kMaxAttempts = 32;
/// Announced evictions of one record; the leader waits with others.
constexpr std::size_t kMaxAnnounced = 256;

Findings CheckOptions(const ElectionOptions& options) {
  Findings findings;
  Place place;
  place.source = "election options";
  const auto require = [&](bool holds, const char* message) {
    if (!holds) findings.Add(place, message);
  };
  require(!options.cell.empty(), "the cell has no name");
  require(!options.self.id.empty(), "the candidate has no name");
  require(options.margin > DurationMs(0), "the margin is not positive");
  require(options.renew_interval + options.call_timeout + options.margin <
              options.ttl,
          "a renewal that times out leaves no time for another one");
  require(options.hold_interval + options.margin < options.hold,
          "promises end before they are renewed");
  return findings;
}

}  // namespace

Result<Election> Election::Create(ElectionOptions options,
                                  const RecordCodec& codec, TimeMs now) {
  Findings findings = CheckOptions(options);
  if (!findings.empty()) return findings;
  return Election(std::move(options), codec, now);
}

Election::Election(ElectionOptions options, const RecordCodec& codec,
                   TimeMs now)
    : m_options(std::move(options)),
      m_codec(&codec),
      m_next_call(now),
      // An earlier life may have promised to hold.
      m_hold_until(now + m_options.hold),
      m_next_hold(now) {}

TimeMs Election::OrderDeadline() const {
  if (!m_leading || m_resigned) return TimeMs();
  return std::max(m_authority, HoldDeadline());
}

ElectionActions Election::Tick(TimeMs now) {
  ElectionActions actions;
  if (m_pending && now - m_pending->sent > m_options.call_timeout) {
    const PendingCall call = *std::exchange(m_pending, std::nullopt);
    OnFailedCall(call, KvReply{}, now);
  }
  NoteLapse(now);
  if (m_leading && !m_resigned && !m_kv_reachable) AskForHolds(now, actions);
  if (m_leading) SettleTerms(now, actions);
  if (NeedsAnnouncement()) {
    m_next_call =
        std::min(m_next_call, m_last_write + m_options.announce_interval);
  }
  if (!m_leading && IsEligible()) {
    m_next_call = std::min(m_next_call, m_last_poll + m_options.poll_interval);
  }
  if (m_pending || now < m_next_call) return actions;
  if (m_leading) {
    LeaderTick(now, actions);
  } else {
    CandidateTick(now, actions);
  }
  return actions;
}

void Election::LeaderTick(TimeMs now, ElectionActions& actions) {
  m_next_call = now + m_options.renew_interval;
  if (m_read_first) {
    Read(now, actions);
    return;
  }
  LeadershipRecord record = *m_record;
  record.released = m_resigned;
  record.successors = ChooseSuccessors();
  record.evictions.assign(m_evictions.begin(), m_evictions.end());
  if (record.evictions.size() > kMaxAnnounced) {
    record.evictions.resize(kMaxAnnounced);
  }
  record.unsettled = OpenTerms();
  Write(std::move(record), now, actions);
}

void Election::CandidateTick(TimeMs now, ElectionActions& actions) {
  m_last_poll = now;
  m_next_call = now + (IsEligible() ? m_options.poll_interval
                                    : m_options.idle_poll_interval);
  if (!MayTakeOver(now)) {
    Read(now, actions);
    return;
  }
  LeadershipRecord record;
  record.epoch = m_epoch.Next();
  record.leader = m_options.self;
  record.ttl = m_options.ttl;
  record.unsettled = InheritTerms();
  record.successors = ChooseSuccessors();
  Write(std::move(record), now, actions);
}

void Election::Read(TimeMs now, ElectionActions& actions) {
  m_last_call = m_last_call.Next();
  m_pending = PendingCall{m_last_call, now, std::nullopt};
  actions.emplace_back(
      KvCall{m_last_call, KvGet{LeadershipKey(m_options.cell)}});
}

void Election::Write(LeadershipRecord record, TimeMs now,
                     ElectionActions& actions) {
  m_last_attempt = m_last_attempt.Next();
  record.incarnation = m_options.incarnation;
  record.attempt = m_last_attempt;
  record.last_void_hold = m_last_void_hold = m_last_hold;
  m_last_write = now;
  m_attempts.push_back(
      Attempt{m_last_attempt, now, record.successors, record.evictions});
  if (m_attempts.size() > kMaxAttempts) m_attempts.pop_front();
  m_last_call = m_last_call.Next();
  actions.emplace_back(KvCall{
      m_last_call, KvCompareAndSwap{LeadershipKey(m_options.cell), m_version,
                                    m_codec->Encode(record), KvLease()}});
  m_pending = PendingCall{m_last_call, now, std::move(record)};
}

ElectionActions Election::OnKvReply(KvCallId id, const KvReply& reply,
                                    TimeMs now) {
  ElectionActions actions;
  // A reply after the timeout has been counted as lost already.
  if (!m_pending || m_pending->id != id) return actions;
  const PendingCall call = *std::exchange(m_pending, std::nullopt);
  const bool answered = reply.status == KvStatus::kOk ||
                        reply.status == KvStatus::kConflict ||
                        reply.status == KvStatus::kNotFound;
  if (!answered) {
    OnFailedCall(call, reply, now);
    return actions;
  }
  m_kv_reachable = true;
  m_read_first = false;
  if (call.written && reply.status == KvStatus::kOk) {
    const KvEntry entry{LeadershipKey(m_options.cell),
                        m_codec->Encode(*call.written), reply.version};
    Observe(entry, now, actions);
  } else if (reply.entries.empty()) {
    OnAbsent(now, actions);
  } else {
    Observe(reply.entries.front(), now, actions);
  }
  return actions;
}

void Election::OnFailedCall(const PendingCall& call, const KvReply& reply,
                            TimeMs now) {
  m_kv_reachable = reply.status == KvStatus::kRateLimited ||
                   reply.status == KvStatus::kTooLarge;
  if (!call.written) return;
  // The promises so far cover no eviction that the record does not list.
  m_next_hold = now;
  if (reply.status == KvStatus::kUnknown) {
    m_unsettled = true;
    m_read_first = true;
    // The read that settles the write must not wait.
    m_next_call = now;
    return;
  }
  // The write had no effect, so that its successors were never listed.
  std::erase_if(m_attempts, [&](const Attempt& attempt) {
    return attempt.number == call.written->attempt;
  });
}

void Election::OnAbsent(TimeMs now, ElectionActions& actions) {
  if (m_observed && m_version == KvVersion()) return;
  m_observed = true;
  m_version = KvVersion();
  m_first_seen = now;
  m_record.reset();
  m_unsettled = false;
  StopLeading(actions);
}

void Election::Observe(const KvEntry& entry, TimeMs now,
                       ElectionActions& actions) {
  if (m_observed && entry.version == m_version) return;
  if (m_observed) ++m_changes_seen;
  m_observed = true;
  m_version = entry.version;
  m_first_seen = now;
  // No earlier write of this candidate can succeed any more.
  m_unsettled = false;
  m_record = m_codec->Decode(entry.value);
  if (!m_record) {
    StopLeading(actions);
    return;
  }
  m_epoch = std::max(m_epoch, m_record->epoch);
  if (Owns(*m_record) && !m_record->released) {
    OnOwnRecord(actions);
  } else {
    StopLeading(actions);
  }
}

void Election::OnOwnRecord(ElectionActions& actions) {
  const auto attempt = std::find_if(
      m_attempts.begin(), m_attempts.end(),
      [&](const Attempt& a) { return a.number == m_record->attempt; });
  TimeMs sent;
  if (attempt != m_attempts.end()) sent = attempt->sent;
  m_authority = std::max(m_authority, sent + m_options.ttl - m_options.margin);
  m_attempts.clear();
  m_lapsed = false;
  if (m_leading) return;
  m_leading = true;
  m_promises.clear();
  m_hold_requests.clear();
  m_evictions.clear();
  m_open_terms.clear();
  m_term_began = m_first_seen;
  for (const UnsettledTerm& term : m_record->unsettled) {
    m_open_terms.push_back(OpenTerm{term, std::nullopt});
  }
  if (m_resigned) return;
  actions.emplace_back(BecameLeader{
      m_record->epoch, sent + m_options.order_timeout + m_options.margin});
}

void Election::StopLeading(ElectionActions& actions) {
  m_attempts.clear();
  if (!m_leading) return;
  m_leading = false;
  m_authority = TimeMs();
  m_promises.clear();
  // Resign has told of it already.
  if (!m_resigned) actions.emplace_back(LostLeadership{m_epoch});
}

ElectionActions Election::Resign(TimeMs now) {
  ElectionActions actions;
  if (m_resigned) return actions;
  m_resigned = true;
  m_next_call = now;
  if (m_leading) actions.emplace_back(LostLeadership{m_epoch});
  return actions;
}

}  // namespace yuccamoor
