/// \file
/// \brief The record in the key-value service that says who leads a cell.

#ifndef YUCCAMOOR_COORDINATION_LEADERSHIP_LEADERSHIP_RECORD_H_
#define YUCCAMOOR_COORDINATION_LEADERSHIP_LEADERSHIP_RECORD_H_

#include <optional>
#include <string>
#include <vector>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"
#include "yuccamoor/state/residency.h"

namespace yuccamoor {

/// A process that may lead cells.
struct Candidate {
  NodeId id;
  /// The address for peers as "ip:port".
  std::string address;
  FailureDomainId failure_domain;

  friend bool operator==(const Candidate&, const Candidate&) = default;
};

/// Whether the list has a candidate of that id.
bool Contains(const std::vector<Candidate>& candidates, const NodeId& id);

/// A term of an earlier leader, some of whose evictions may yet reach an engine
/// that ignores fencing numbers: the leader may be paused right before it
/// writes them.
struct UnsettledTerm {
  Candidate leader;
  Incarnation incarnation;
  Epoch epoch;
  /// True: the leader may have ordered evictions that are not listed.
  bool unlisted = false;
  std::vector<SlotKey> evictions;

  friend bool operator==(const UnsettledTerm&, const UnsettledTerm&) = default;
};

/// Who leads a cell. Every renewal writes it anew, so that its version in the
/// service tells an observer that the leader lives.
struct LeadershipRecord {
  Epoch epoch;
  Candidate leader;
  /// The leader's life and the number of the write within it: together they
  /// tell a writer whose answer was lost whether this is its own write.
  Incarnation incarnation;
  Sequence attempt;
  DurationMs ttl;
  /// True: the leader has stepped down and sends no more orders.
  bool released = false;
  /// The only candidates that may take over while any of them lives, in order
  /// of preference.
  std::vector<Candidate> successors;
  /// On engines that ignore fencing numbers: what the leader may evict. Others
  /// are ordered only on promises of every successor, and only on requests for
  /// them that are numbered above `last_void_hold`.
  std::vector<SlotKey> evictions;
  Sequence last_void_hold;
  std::vector<UnsettledTerm> unsettled;

  friend bool operator==(const LeadershipRecord&,
                         const LeadershipRecord&) = default;
};

/// Converts the record to and from the value that the service holds.
class RecordCodec {
 public:
  virtual ~RecordCodec() = default;

  virtual std::string Encode(const LeadershipRecord& record) const = 0;
  /// Returns nothing if the text is not a record.
  virtual std::optional<LeadershipRecord> Decode(
      const std::string& text) const = 0;
};

/// Returns the key of a cell's record.
std::string LeadershipKey(const CellId& cell);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_LEADERSHIP_LEADERSHIP_RECORD_H_
