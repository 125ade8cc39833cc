/// \file
/// \brief A model engine in virtual time: slots, and a batch whose requests all
/// advance at one rate.

#ifndef YUCCAMOOR_BENCHMARKS_PLACEMENT_FAKE_ENGINE_H_
#define YUCCAMOOR_BENCHMARKS_PLACEMENT_FAKE_ENGINE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "workload.h"
#include "yuccamoor/state/clock.h"

namespace yuccamoor::placement_benchmark {

/// Runs requests; each token takes longer the fuller the batch is.
class FakeEngine {
 public:
  /// Time of one step of the batch, alone and for each request in it.
  static constexpr double kStepMs = 12.0;
  static constexpr double kStepMsPerRequest = 0.75;

  explicit FakeEngine(std::uint32_t batch_capacity)
      : m_batch_capacity(batch_capacity) {}

  std::uint32_t running() const {
    return static_cast<std::uint32_t>(m_by_finish.size());
  }
  bool HasRoom() const { return running() < m_batch_capacity; }
  /// Requests that run for the target.
  std::uint32_t RunningFor(TargetIndex target) const;

  void Start(RequestIndex request, TargetIndex target, std::uint32_t tokens,
             TimeMs now);
  /// Ends a request early.
  void Cancel(RequestIndex request, TimeMs now);
  /// Removes and returns the requests that have finished by \p now.
  std::vector<RequestIndex> TakeFinished(TimeMs now);
  /// Removes and returns everything that runs.
  std::vector<RequestIndex> Restart(TimeMs now);
  /// When the next request finishes if nothing changes before.
  std::optional<TimeMs> NextFinish() const;

  /// Integral of the running requests over time, in request milliseconds.
  double request_ms() const { return m_request_ms; }
  /// Time with at least one request running, in milliseconds.
  double busy_ms() const { return m_busy_ms; }
  /// Brings the integrals up to \p now.
  void Advance(TimeMs now);

 private:
  struct Entry {
    TargetIndex target = 0;
    std::multimap<double, RequestIndex>::iterator place;
  };

  double TokenTimeMs() const;
  void Remove(RequestIndex request);

  std::uint32_t m_batch_capacity;
  TimeMs m_now;
  /// Tokens that each request of the batch has got since the engine began.
  double m_progress = 0;
  /// Running requests by the progress at which they finish.
  std::multimap<double, RequestIndex> m_by_finish;
  std::unordered_map<RequestIndex, Entry> m_entries;
  std::unordered_map<TargetIndex, std::uint32_t> m_running_for;
  double m_request_ms = 0;
  double m_busy_ms = 0;
};

}  // namespace yuccamoor::placement_benchmark

#endif  // YUCCAMOOR_BENCHMARKS_PLACEMENT_FAKE_ENGINE_H_
