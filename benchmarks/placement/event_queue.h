/// \file
/// \brief The events of a run in virtual time, in order.

#ifndef YUCCAMOOR_BENCHMARKS_PLACEMENT_EVENT_QUEUE_H_
#define YUCCAMOOR_BENCHMARKS_PLACEMENT_EVENT_QUEUE_H_

#include <cstdint>
#include <queue>
#include <tuple>
#include <vector>

#include "yuccamoor/state/clock.h"

namespace yuccamoor::placement_benchmark {

/// What happens.
enum class EventKind : std::uint8_t {
  /// Request `subject` arrives.
  kArrival,
  /// Request `subject` reaches its deadline.
  kDeadline,
  /// Worker `subject` may have finished a request.
  kEngineProgress,
  /// Order `stamp` has had its effect at the worker.
  kRecalled,
  /// Load `stamp` ends.
  kLoadEnd,
  /// Reports of every worker arrive.
  kReport,
  /// Gateways report the requests that they ran without asking.
  kWarmDemand,
  /// Worker `subject` restarts empty.
  kRestart,
  /// Worker `subject` takes orders again.
  kWorkerUp,
  kOrdersStop,
  kOrdersResume,
  /// The leader looks at the state again.
  kTick,
  /// A token of the store's budget is there.
  kBudget,
};

struct Event {
  TimeMs at;
  /// Breaks ties in the order of insertion.
  std::uint64_t number = 0;
  EventKind kind = EventKind::kTick;
  std::uint32_t subject = 0;
  std::uint64_t stamp = 0;
};

/// A queue that returns the earliest event first.
class EventQueue {
 public:
  void Add(TimeMs at, EventKind kind, std::uint32_t subject = 0,
           std::uint64_t stamp = 0) {
    m_events.push(Event{at, m_next_number++, kind, subject, stamp});
  }
  bool empty() const { return m_events.empty(); }
  const Event& Top() const { return m_events.top(); }
  Event Take() {
    const Event event = m_events.top();
    m_events.pop();
    return event;
  }

 private:
  struct Later {
    bool operator()(const Event& a, const Event& b) const {
      return std::tie(a.at, a.number) > std::tie(b.at, b.number);
    }
  };

  std::uint64_t m_next_number = 0;
  std::priority_queue<Event, std::vector<Event>, Later> m_events;
};

}  // namespace yuccamoor::placement_benchmark

#endif  // YUCCAMOOR_BENCHMARKS_PLACEMENT_EVENT_QUEUE_H_
