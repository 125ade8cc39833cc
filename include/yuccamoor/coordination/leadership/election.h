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
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "yuccamoor/coordination/config/kv_call.h"
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
  /// The time between reads of the record by a candidate.
  DurationMs poll_interval{500};
  /// Covers clock drift between VMs; taken off the leader's deadline and added
  /// to the observer's.
  DurationMs margin{100};
  /// The longest time from a call to its reply.
  DurationMs call_timeout{600};
  /// How long a successor promises not to take over, and the time between a
  /// leader's requests for that. The same in every process.
  DurationMs hold{4'000};
  DurationMs hold_interval{500};
  /// The longest time that an order can be under way.
  DurationMs order_timeout{1'000};
  /// Added per rank, so that candidates do not race.
  DurationMs stagger{150};
  std::size_t max_successors = 2;
  /// Whether a leader may order on promises while the service is down.
  bool use_holds = true;
};

/// Leader to successor: do not take over for `hold` from receipt.
struct HoldRequest {
  CellId cell;
  NodeId from;
  Epoch epoch;
  Sequence number;
  DurationMs hold;
};

/// Successor to leader. Not granted if the successor reaches the service.
struct HoldReply {
  CellId cell;
  NodeId from;
  Epoch epoch;
  Sequence number;
  bool granted = false;
};

/// Asks for a message to a successor; its reply goes to OnHoldReply.
struct SendHoldRequest {
  Candidate to;
  HoldRequest request;
};

/// This candidate now leads. Orders of an earlier leader can be under way until
/// `may_order_from`.
struct BecameLeader {
  Epoch epoch;
  TimeMs may_order_from;
};

/// Another candidate leads, or this one has stepped down.
struct LostLeadership {
  Epoch epoch;
};

using ElectionAction =
    std::variant<KvCall, SendHoldRequest, BecameLeader, LostLeadership>;
using ElectionActions = std::vector<ElectionAction>;

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

  /// Replaces the list of live candidates. It may list dead ones, but must
  /// list every live one.
  void OnCandidates(std::vector<Candidate> live);

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
  bool IsLive(const NodeId& id) const;
  std::size_t Rank() const;
  std::vector<Candidate> ChooseSuccessors() const;
  std::vector<Candidate> NeededPromises() const;
  TimeMs HoldDeadline() const;

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
  std::vector<Candidate> m_live;
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
  Sequence m_last_hold;
  TimeMs m_next_hold;
  std::map<Sequence, TimeMs> m_hold_requests;
  std::map<NodeId, TimeMs> m_promises;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_LEADERSHIP_ELECTION_H_
