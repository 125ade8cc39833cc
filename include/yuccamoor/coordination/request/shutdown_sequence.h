/// \file
/// \brief The phases of a graceful shutdown, which cuts off no request.

#ifndef YUCCAMOOR_COORDINATION_REQUEST_SHUTDOWN_SEQUENCE_H_
#define YUCCAMOOR_COORDINATION_REQUEST_SHUTDOWN_SEQUENCE_H_

#include <cstdint>

#include "yuccamoor/state/clock.h"

namespace yuccamoor {

/// Where a process stands on its way out.
enum class ShutdownPhase : std::uint8_t {
  kServing,
  /// Says that it is not ready, and still serves what the balancer sends.
  kUnready,
  /// Takes no connections or requests; finishes what is in flight.
  kDraining,
  /// Nothing is in flight: exits with 0.
  kDone,
  /// The grace ended with requests in flight: exits with an error.
  kGraceOver,
};

/// The times of a shutdown.
struct ShutdownOptions {
  /// How long the balancer may take to notice.
  DurationMs unready_time{3'000};
  /// How long the whole shutdown may take.
  DurationMs grace{60'000};
};

/// What must have ended before the process may.
struct ShutdownLoad {
  std::uint64_t requests_in_flight = 0;
  /// Outcomes of keyed requests that are still to be written.
  bool unwritten_outcomes = false;
  /// Residency leases, shards or a leadership that are not yet handed over.
  bool unreleased = false;
};

/// Walks through the phases. Never goes back.
class ShutdownSequence {
 public:
  explicit ShutdownSequence(const ShutdownOptions& options)
      : m_options(options) {}

  /// Starts the shutdown; later calls change nothing.
  void Begin(TimeMs now);
  /// Returns the phase to be in now. Called on each end of a request and each
  /// few milliseconds.
  ShutdownPhase Advance(const ShutdownLoad& load, TimeMs now);

  ShutdownPhase phase() const { return m_phase; }

 private:
  ShutdownOptions m_options;
  ShutdownPhase m_phase = ShutdownPhase::kServing;
  TimeMs m_begun;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_REQUEST_SHUTDOWN_SEQUENCE_H_
