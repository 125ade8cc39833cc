/// \file
/// \brief What candidates of one cell tell each other, and what an election
/// asks its process to do.

#ifndef YUCCAMOOR_COORDINATION_LEADERSHIP_ELECTION_MESSAGES_H_
#define YUCCAMOOR_COORDINATION_LEADERSHIP_ELECTION_MESSAGES_H_

#include <variant>
#include <vector>

#include "yuccamoor/coordination/config/kv_call.h"
#include "yuccamoor/coordination/leadership/leadership_record.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor {

/// The live candidates. The list may name dead ones, but must name every one
/// that was live when it was read.
struct CandidateList {
  std::vector<Candidate> live;
  /// When the reads of the members and of the list of VMs began.
  TimeMs members_read;
  TimeMs vms_read;
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

/// Leader to an earlier leader: can an eviction of your term still be written?
struct SettleRequest {
  CellId cell;
  NodeId to;
  Incarnation incarnation;
  Epoch epoch;
};

/// Earlier leader to leader. Settled if every order of the term, and of those
/// before it in the same life, has been written or never will be.
struct SettleReply {
  CellId cell;
  NodeId from;
  Incarnation incarnation;
  Epoch epoch;
  bool settled = false;
};

/// Asks for a message to an earlier leader; its reply goes to OnSettleReply.
struct SendSettleRequest {
  Candidate to;
  SettleRequest request;
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

using ElectionAction = std::variant<KvCall, SendHoldRequest, SendSettleRequest,
                                    BecameLeader, LostLeadership>;
using ElectionActions = std::vector<ElectionAction>;

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_LEADERSHIP_ELECTION_MESSAGES_H_
