/// \file
/// \brief Keeps a node's view of the store up to date.

#ifndef YUCCAMOOR_TRANSPORT_FLEET_STORE_SESSION_H_
#define YUCCAMOOR_TRANSPORT_FLEET_STORE_SESSION_H_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "yuccamoor/coordination/fleet/fleet_store.h"
#include "yuccamoor/coordination/fleet/watch_plan.h"
#include "yuccamoor/protocol/fleet/peer_messages.h"
#include "yuccamoor/transport/fleet/node_context.h"
#include "yuccamoor/transport/observability/repeat_filter.h"

namespace yuccamoor::fleet {

/// Reads everything once, then the changes: from the store, or in a large
/// fleet from the nodes that read the store for its failure domain.
class StoreSession {
 public:
  /// Called with changes that the other nodes of the failure domain should
  /// learn of.
  using PassOn = std::function<void(const TellChanges&)>;

  StoreSession(NodeContext& context, FleetStore& store, PassOn pass_on);

  /// Starts reading. \p on_change is called after each change of the view.
  void Start(std::function<void()> on_change);
  /// The store came back with an older copy: everything is read anew.
  void OnStoreRestored(StoreEra era);
  /// Handles changes that another node has read.
  void OnTellChanges(const TellChanges& told);
  /// Whether the store has answered lately, this node or the one that reads
  /// for it.
  bool IsFresh(TimeMs now) const;

 private:
  // A read under way.
  struct Call {
    std::uint64_t number = 0;
    TimeMs began;
    // The revision after which changes are read, or nothing if everything is.
    std::optional<Revision> after;
  };

  void ScheduleRead();
  void Read();
  // Sends the call to the store.
  void Send(const Call& call);
  // Whether to read the present state instead of all changes since the view's
  // revision, each of which may be large and superseded by now.
  bool IsFarBehind(TimeMs now) const;
  void OnReading(const StoreReadResult& reading, const Call& call);
  // Returns the read's outcome, after what it has brought was taken up.
  ReadOutcome TakeReading(const StoreReadResult& reading, const Call& call);
  // Both return whether the view changed by more than repeated entries.
  bool OnReadAll(const StoreReadResult& reading, TimeMs began, TimeMs now);
  bool OnWatched(const StoreReadResult& reading, const Call& call, TimeMs now);
  std::vector<StoreChange> Apply(const std::vector<StoreChange>& changes,
                                 TimeMs now, TimeMs written_from);
  // Tells other nodes the changes since \p after, the latest revision of which
  // this node knew any change before: they may have missed those.
  void PassOnChanges(const std::vector<StoreChange>& news, Revision after,
                     TimeMs now);
  // Takes up which endpoints leave, by changes that cannot be applied as a
  // whole.
  void NoteLeaving(const std::vector<StoreChange>& changes, TimeMs now);
  // The time within which a node in contact learns of a change.
  DurationMs LearningTime() const;
  // The earliest time at which a change that arrives now may have been written.
  // It counts as new if the view was current within \p usual_silence.
  TimeMs WrittenFrom(TimeMs now, DurationMs usual_silence) const;
  void OnOutageNotice(TimeMs now);
  void OnViewChanged();
  void NoteAnswer(const StoreReadResult& reading, const Call& call);
  // Logs that the store is lost, and what further failures show of the cause.
  void NoteNoAnswer(const char* reason, const std::string& failure,
                    const Call& call);
  void LogNews(const StoreChange& change, ViewUpdate news);

  NodeContext& m_context;
  FleetStore& m_store;
  PassOn m_pass_on;
  std::function<void()> m_on_change;
  boost::asio::steady_timer m_timer;
  WatchPlan m_plan;
  // The view has all changes up to the first revision, and may have some up to
  // the second one.
  Revision m_as_of;
  Revision m_newest;
  // The era of the view's revision.
  StoreEra m_era;
  bool m_has_view = false;
  // The view cannot be continued by changes: everything has to be read.
  bool m_history_gone = false;
  // The number of the next read. Those before m_first_counted are passed over:
  // a later one, or one that the store answered sooner, has gone beyond them.
  std::uint64_t m_next_number = 0;
  std::uint64_t m_first_counted = 0;
  // The first read under way.
  Call m_first_call;
  bool m_reachable = true;
  RepeatFilter m_failure_reports;
  // The last answer of the store, also to a node that reads for this one.
  TimeMs m_last_answer;
  // The latest revision that another node told of without all changes up to it.
  Revision m_missed;
  // When the store was last seen to be back after an outage.
  std::optional<TimeMs> m_recovered;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_TRANSPORT_FLEET_STORE_SESSION_H_
