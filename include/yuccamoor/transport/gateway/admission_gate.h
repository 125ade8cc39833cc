/// \file
/// \brief Admits requests to a gateway by priority, and wakes those that wait.

#ifndef YUCCAMOOR_TRANSPORT_GATEWAY_ADMISSION_GATE_H_
#define YUCCAMOOR_TRANSPORT_GATEWAY_ADMISSION_GATE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <unordered_map>

#include "yuccamoor/coordination/request/admission_queue.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"
#include "yuccamoor/state/priority.h"
#include "yuccamoor/transport/asio.h"

namespace yuccamoor {

class AdmissionGate;
class AsyncEvent;

/// The place of one admitted request; given back when it goes.
class AdmissionPass {
 public:
  AdmissionPass(AdmissionGate& gate, TimeMs start);
  AdmissionPass(AdmissionPass&& other) noexcept;
  ~AdmissionPass();
  AdmissionPass(const AdmissionPass&) = delete;
  AdmissionPass& operator=(const AdmissionPass&) = delete;
  AdmissionPass& operator=(AdmissionPass&&) = delete;

 private:
  AdmissionGate* m_gate;
  TimeMs m_start;
};

/// How a request fared: admitted, or refused for good at once. Neither if its
/// time has passed or its caller has gone.
struct AdmissionResult {
  std::optional<AdmissionPass> pass;
  bool refused = false;
  DurationMs retry_after;
};

/// What a request asks for.
struct AdmissionWish {
  Priority priority = Priority::kNormal;
  TimeMs deadline = TimeMs::Never();
  /// Asked from time to time.
  std::function<bool()> caller_gone;
};

/// The gate. Safe to use from several threads; its mutex is a leaf of the lock
/// order. Must outlive every pass.
class AdmissionGate {
 public:
  AdmissionGate(const AdmissionOptions& options, const Clock& clock,
                std::uint64_t random_seed);

  Awaitable<AdmissionResult> Enter(AdmissionWish wish);

  /// Requests that run.
  std::uint32_t running() const;
  /// Requests that wait.
  std::size_t queued() const;

 private:
  friend class AdmissionPass;

  enum class Verdict : std::uint8_t { kWaiting, kRun, kRefused };
  struct Waiter {
    std::shared_ptr<AsyncEvent> event;
    Verdict verdict = Verdict::kWaiting;
    DurationMs retry_after;
  };
  using WaiterPtr = std::shared_ptr<Waiter>;

  /// Offers the request to the queue; a waiter that was not decided on at once
  /// is kept.
  void Offer(const RequestId& id, Priority priority, const WaiterPtr& waiter);
  Awaitable<void> Wait(WaiterPtr waiter, AdmissionWish wish);
  void Leave(DurationMs service_time);
  void Decide(const RequestId& id, Verdict verdict, DurationMs retry_after);
  double Random() { return m_uniform(m_random); }

  const Clock& m_clock;
  mutable std::mutex m_mutex;
  AdmissionQueue m_queue;
  std::mt19937_64 m_random;
  std::uniform_real_distribution<double> m_uniform{0, 1};
  std::uint64_t m_arrivals = 0;
  std::unordered_map<RequestId, WaiterPtr> m_waiters;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_GATEWAY_ADMISSION_GATE_H_
