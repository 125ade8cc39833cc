/// \file
/// \brief Circuit state of one endpoint: opens when too large a share of a
/// minimum sample failed, and closes after probes succeed.

#ifndef YUCCAMOOR_COORDINATION_REQUEST_CIRCUIT_BREAKER_H_
#define YUCCAMOOR_COORDINATION_REQUEST_CIRCUIT_BREAKER_H_

#include <cstdint>

#include "yuccamoor/state/clock.h"

namespace yuccamoor {

/// When a circuit opens and how it closes again.
struct CircuitOptions {
  /// Calls are counted over the running and the previous window.
  DurationMs window{5'000};
  std::uint32_t min_sample = 10;
  double failure_share = 0.5;
  /// How long an open circuit refuses before it lets probes through.
  DurationMs open_time{2'000};
  /// Probes at once while half open, and successes in a row that close it.
  std::uint32_t max_probes = 1;
  std::uint32_t probes_to_close = 3;
};

enum class CircuitState : std::uint8_t { kClosed, kOpen, kHalfOpen };

/// The circuit of one endpoint as one gateway sees it.
class CircuitBreaker {
 public:
  explicit CircuitBreaker(const CircuitOptions& options);

  /// Whether a call may start. Changes nothing.
  bool Allows(TimeMs now) const;
  /// Notes the start of a call that Allows has let through.
  void OnStart(TimeMs now);
  /// Notes the end of a started call.
  void OnEnd(bool success, TimeMs now);
  /// Notes the end of a started call that says nothing of the endpoint, such
  /// as one that the caller cancelled.
  void OnCancel();

  CircuitState state(TimeMs now) const;

 private:
  struct Window {
    std::uint32_t calls = 0;
    std::uint32_t failures = 0;
  };

  void Open(TimeMs now);
  void Roll(TimeMs now);

  CircuitOptions m_options;
  bool m_open = false;
  TimeMs m_opened;
  TimeMs m_window_start;
  Window m_current;
  Window m_previous;
  std::uint32_t m_probes = 0;
  std::uint32_t m_successes = 0;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_REQUEST_CIRCUIT_BREAKER_H_
