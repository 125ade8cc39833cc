/// \file
/// \brief Leadership of one cell as seen by one candidate.
///
/// The record in the key-value service is written by compare-and-swap only. A
/// leader's authority to send orders counts from the time at which it sent the
/// renewal that succeeded. An observer takes over only after it has itself
/// seen the same version for longer than that. While the service is down for
/// everybody, the leader's authority rests on promises of every listed
/// successor not to take over.

#ifndef YUCCAMOOR_COORDINATION_LEADERSHIP_ELECTION_H_
#define YUCCAMOOR_COORDINATION_LEADERSHIP_ELECTION_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "yuccamoor/coordination/config/kv_call.h"
#include "yuccamoor/coordination/leadership/election_messages.h"
#include "yuccamoor/coordination/leadership/eviction_clearance.h"
#include "yuccamoor/coordination/leadership/leadership_record.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"
#include "yuccamoor/state/key_value.h"
#include "yuccamoor/state/result.h"

namespace yuccamoor {

/// What one candidate is told at its start.
struct ElectionOptions {
  CellId cell;
  Candidate self;
  Incarnation incarnation;
  /// How long one renewal lasts, and the time between renewals.
  DurationMs ttl{2'000};
  DurationMs renew_interval{500};
  /// The time between reads of the record by a candidate that may take over,
  /// and by one that may not while a candidate before it lives.
  DurationMs poll_interval{500};
  DurationMs idle_poll_interval{10'000};
  /// Covers clock drift between VMs; taken off the leader's deadline and added
  /// to the observer's.
  DurationMs margin{100};
  /// The longest time from a call to its reply.
  DurationMs call_timeout{600};
  /// How long a successor promises not to take over, and the time between a
  /// leader's requests for that. The same in every process.
  DurationMs hold{4'000};
  DurationMs hold_interval{500};
  /// The shortest time between writes that announce evictions, which bounds the
  /// writes of one cell, and the time between questions to an earlier leader.
  DurationMs announce_interval{200};
  DurationMs settle_interval{500};
  /// The longest time that an order can be under way.
  DurationMs order_timeout{1'000};
  /// Added per rank, so that candidates do not race.
  DurationMs stagger{150};
  std::size_t max_successors = 2;
  /// Whether a leader may order on promises while the service is down.
  bool use_holds = true;
};

/// One candidate's part in the leadership of one cell. Not thread-safe.
class Election {
 public:
  /// Reports options that break the rules, such as a renewal interval that is
  /// not well below the time to live. \p codec must outlive the election.
  static Result<Election> Create(ElectionOptions options,
                                 const RecordCodec& codec, TimeMs now);

  /// Does what is due. Call it every few tens of milliseconds.
  ElectionActions Tick(TimeMs now);

  ElectionActions OnKvReply(KvCallId id, const KvReply& reply, TimeMs now);

  /// Answers a leader's request not to take over.
  HoldReply OnHoldRequest(const HoldRequest& request, TimeMs now);

  void OnHoldReply(const HoldReply& reply);

  /// Replaces the list of evictions that the leader wants to order or whose
  /// orders have no result. To be told of each order before the next write.
  void Announce(const std::set<SlotKey>& evictions);

  /// What the leader may evict and grant at \p now, on engines that ignore
  /// fencing numbers.
  EvictionClearance Clearance(TimeMs now) const;

  /// Answers a later leader. \p orders_open: orders of the term, or of one
  /// before it, have no result yet.
  SettleReply OnSettleRequest(const SettleRequest& request, bool orders_open,
                              TimeMs now);

  void OnSettleReply(const SettleReply& reply, TimeMs now);

  /// Replaces the list of live candidates.
  void OnCandidates(CandidateList candidates);

  /// Steps down: ends the authority at once and releases the record, so that a
  /// successor need not wait. The candidate never leads again.
  ElectionActions Resign(TimeMs now);

  /// Whether the record has been released, or was not held, after Resign.
  bool Resigned() const {
    return m_resigned && !m_leading && !m_unsettled && !m_pending;
  }

  /// Whether this candidate may send orders at \p now.
  bool IsLeader(TimeMs now) const { return now < OrderDeadline(); }

  /// Whether the record named this candidate when last seen. It may not order
  /// past OrderDeadline all the same.
  bool HoldsRecord() const { return m_leading; }

  /// The time before which orders must be sent. Check it right before each
  /// send. Time zero if this candidate does not lead.
  TimeMs OrderDeadline() const;

  /// The epoch of the record last seen.
  Epoch epoch() const { return m_epoch; }

  /// The record last seen, if there is one.
  const std::optional<LeadershipRecord>& record() const { return m_record; }

 private:
  /// One write of the record by this candidate.
  struct Attempt {
    Sequence number;
    TimeMs sent;
    std::vector<Candidate> successors;
    std::vector<SlotKey> evictions;
  };
  /// A successor's promise: the newest request that it granted, and its time.
  struct Promise {
    Sequence number;
    TimeMs sent;
  };
  /// An earlier leader's term.
  struct OpenTerm {
    UnsettledTerm term;
    /// When none of its evictions can be under way any more, once that is
    /// known.
    std::optional<TimeMs> ends;
  };
  /// The call whose reply is awaited.
  struct PendingCall {
    KvCallId id;
    TimeMs sent;
    std::optional<LeadershipRecord> written;
  };

  Election(ElectionOptions options, const RecordCodec& codec, TimeMs now);

  bool Owns(const LeadershipRecord& record) const;
  bool MayTakeOver(TimeMs now) const;
  bool IsEligible() const;
  bool IsLive(const NodeId& id) const;
  std::size_t Rank() const;
  std::vector<Candidate> ChooseSuccessors() const;
  std::vector<Candidate> NamedSuccessors() const;
  std::vector<Candidate> NeededPromises() const;
  TimeMs HoldDeadline() const;
  void NoteLapse(TimeMs now);

  bool NeedsAnnouncement() const;
  bool MayOrderUnlisted(TimeMs now) const;
  bool MayHaveUnlisted() const;
  std::vector<UnsettledTerm> InheritTerms() const;
  std::vector<UnsettledTerm> OpenTerms() const;
  void SettleTerms(TimeMs now, ElectionActions& actions);

  void LeaderTick(TimeMs now, ElectionActions& actions);
  void CandidateTick(TimeMs now, ElectionActions& actions);
  void AskForHolds(TimeMs now, ElectionActions& actions);
  void Read(TimeMs now, ElectionActions& actions);
  void Write(LeadershipRecord record, TimeMs now, ElectionActions& actions);
  void OnFailedCall(const PendingCall& call, const KvReply& reply, TimeMs now);
  void OnAbsent(TimeMs now, ElectionActions& actions);
  void Observe(const KvEntry& entry, TimeMs now, ElectionActions& actions);
  void OnOwnRecord(ElectionActions& actions);
  void StopLeading(ElectionActions& actions);

  ElectionOptions m_options;
  const RecordCodec* m_codec;
  CandidateList m_candidates;
  bool m_have_live = false;

  /// What was last seen of the record, and when its version first was.
  bool m_observed = false;
  KvVersion m_version;
  TimeMs m_first_seen;
  std::optional<LeadershipRecord> m_record;
  Epoch m_epoch;

  std::optional<PendingCall> m_pending;
  KvCallId m_last_call;
  TimeMs m_next_call;
  TimeMs m_last_poll;
  bool m_kv_reachable = false;
  /// A write whose answer was lost may still take effect.
  bool m_unsettled = false;
  /// The next call must read the record, to learn of such a write.
  bool m_read_first = false;
  Sequence m_last_attempt;
  std::deque<Attempt> m_attempts;

  bool m_leading = false;
  bool m_resigned = false;
  TimeMs m_authority;

  /// Own promise, and the promises of others by the send time of the request.
  TimeMs m_hold_until;
  /// The authority has lapsed since the last renewal: a successor that is gone
  /// by now may have led in between.
  bool m_lapsed = false;
  Sequence m_last_hold;
  TimeMs m_next_hold;
  std::map<Sequence, TimeMs> m_hold_requests;
  std::map<NodeId, Promise> m_promises;

  /// Evictions to announce, the time of the last write, and the last request
  /// for promises before it.
  std::set<SlotKey> m_evictions;
  TimeMs m_last_write;
  Sequence m_last_void_hold;
  /// The newest promise that this candidate has given, and the changes of the
  /// record that it has seen in this life.
  Epoch m_granted_epoch;
  Sequence m_granted_hold;
  std::uint32_t m_changes_seen = 0;
  std::vector<OpenTerm> m_open_terms;
  TimeMs m_term_began;
  TimeMs m_next_settle;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_LEADERSHIP_ELECTION_H_
