/// \file
/// \brief A bounded queue before a service: priority classes, deadlines, and
/// early refusal of what would not be served in time.

#ifndef YUCCAMOOR_COORDINATION_REQUEST_ADMISSION_QUEUE_H_
#define YUCCAMOOR_COORDINATION_REQUEST_ADMISSION_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"
#include "yuccamoor/state/priority.h"

namespace yuccamoor {

/// The limits of one queue.
struct AdmissionOptions {
  /// Requests that may run at once.
  std::uint32_t max_running = 64;
  std::size_t max_queued = 256;
  /// Retry-After of a refusal: this much, plus a random share of the same.
  DurationMs retry_after{1'000};
  /// The service time that is assumed before one was measured.
  DurationMs first_service_time{20};
};

/// A request that asks to run.
struct AdmissionRequest {
  RequestId id;
  Priority priority = Priority::kNormal;
  TimeMs deadline = TimeMs::Never();
};

enum class AdmissionVerdict : std::uint8_t { kRun, kQueued, kRefused };

/// The answer to one request. A refusal is final and told at once.
struct AdmissionAnswer {
  AdmissionVerdict verdict = AdmissionVerdict::kRefused;
  DurationMs retry_after;
};

/// What changed when a place came free or time passed.
struct AdmissionChange {
  std::vector<RequestId> run;
  std::vector<RequestId> refused;
  DurationMs retry_after;
};

/// Admission to one service at one gateway. Of one class the oldest runs first;
/// a request of a higher class runs before all of a lower one, and takes the
/// place of the newest of the lowest class when the queue is full.
class AdmissionQueue {
 public:
  explicit AdmissionQueue(const AdmissionOptions& options);

  /// Takes a request. \p random is uniform in [0, 1). \p displaced receives
  /// the request that was refused to make room, if any.
  AdmissionAnswer Offer(const AdmissionRequest& request, double random,
                        TimeMs now, std::optional<RequestId>* displaced);

  /// Notes that a running request ended, \p service_time after its start, and
  /// fills the free place.
  AdmissionChange OnEnd(DurationMs service_time, double random, TimeMs now);

  /// Refuses what cannot be served before its deadline any more.
  AdmissionChange Tick(double random, TimeMs now);

  /// Forgets a queued request whose caller left; false if it is not queued.
  bool Cancel(const RequestId& id);

  /// Sets how many may run at once. Fewer take effect as running ones end.
  void SetMaxRunning(std::uint32_t max_running);

  std::uint32_t running() const { return m_running; }
  std::size_t queued() const;
  /// The smoothed service time.
  DurationMs service_time() const;

 private:
  static constexpr std::size_t kClasses = 3;

  DurationMs ExpectedWait(std::size_t ahead) const;
  DurationMs RetryAfter(double random) const;
  void Expire(TimeMs now, AdmissionChange& change);
  std::optional<RequestId> DisplaceBelow(std::size_t priority);

  AdmissionOptions m_options;
  std::uint32_t m_running = 0;
  double m_service_ms;
  std::array<std::deque<AdmissionRequest>, kClasses> m_queues;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_REQUEST_ADMISSION_QUEUE_H_
