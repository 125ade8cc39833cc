/// \file
/// \brief The callers of one run: who waits for what, and how each request
/// ended.

#ifndef YUCCAMOOR_BENCHMARKS_PLACEMENT_CALLER_BOOK_H_
#define YUCCAMOOR_BENCHMARKS_PLACEMENT_CALLER_BOOK_H_

#include <cstdint>
#include <deque>
#include <vector>

#include "workload.h"
#include "yuccamoor/state/cell_state.h"
#include "yuccamoor/state/clock.h"

namespace yuccamoor::placement_benchmark {

/// Where a request stands.
enum class RequestPhase : std::uint8_t {
  kNotArrived,
  kWaiting,
  kRunning,
  kAnswered,
  kExpired,
  kRefused,
};

/// One request's progress.
struct RequestRecord {
  RequestPhase phase = RequestPhase::kNotArrived;
  TimeMs waiting_since;
  /// Time spent waiting for the adapter so far.
  DurationMs waited;
  TimeMs started_at;
  /// Time for which the answer ran, if it was given.
  DurationMs served;
  std::uint32_t worker = 0;
};

/// Keeps the queues of waiting requests and mirrors them into the cell state
/// that policies see.
class CallerBook {
 public:
  CallerBook(const Workload* workload, CellState* state);

  const RequestRecord& record(RequestIndex request) const {
    return m_records[request];
  }
  bool HasWaiters(TargetIndex target) const {
    return !m_queues[target].empty();
  }

  /// Lets the request wait; \p first puts it before those that wait already.
  void Enqueue(RequestIndex request, TimeMs now, bool first);
  /// Takes the target's first waiting request and marks it as running.
  RequestIndex StartNext(TargetIndex target, std::uint32_t worker, TimeMs now);
  /// Marks a request as running that never waited.
  void StartWarm(RequestIndex request, std::uint32_t worker, TimeMs now);
  void Answer(RequestIndex request, TimeMs now);
  /// Ends a waiting or running request at its deadline.
  void Expire(RequestIndex request);
  /// Refuses all waiting requests of the target.
  void Refuse(TargetIndex target);

  /// Notes that a load of the target failed or succeeded.
  void OnLoadFailed(TargetIndex target, TimeMs retry_at);
  void OnLoadSucceeded(TargetIndex target);
  std::uint32_t FailedLoads(TargetIndex target) const {
    return m_failures[target].count;
  }

 private:
  struct Failures {
    std::uint32_t count = 0;
    TimeMs retry_at;
  };

  void Mirror(TargetIndex target);

  const Workload* m_workload;
  CellState* m_state;
  std::vector<RequestRecord> m_records;
  std::vector<std::deque<RequestIndex>> m_queues;
  std::vector<Failures> m_failures;
};

}  // namespace yuccamoor::placement_benchmark

#endif  // YUCCAMOOR_BENCHMARKS_PLACEMENT_CALLER_BOOK_H_
