/// \file
/// \brief Circuit state of one endpoint.

#include "yuccamoor/coordination/request/circuit_breaker.h"

#include <algorithm>

namespace yuccamoor {

CircuitBreaker::CircuitBreaker(const CircuitOptions& options)
    : m_options(options) {}

CircuitState CircuitBreaker::state(TimeMs now) const {
  if (!m_open) return CircuitState::kClosed;
  return now - m_opened < m_options.open_time ? CircuitState::kOpen
                                              : CircuitState::kHalfOpen;
}

bool CircuitBreaker::Allows(TimeMs now) const {
  switch (state(now)) {
    case CircuitState::kClosed:
      return true;
    case CircuitState::kHalfOpen:
      return m_probes < m_options.max_probes;
    case CircuitState::kOpen:
      break;
  }
  return false;
}

void CircuitBreaker::OnStart(TimeMs now) {
  if (state(now) == CircuitState::kHalfOpen) ++m_probes;
}

void CircuitBreaker::OnCancel() {
  if (m_probes > 0) --m_probes;
}

void CircuitBreaker::OnEnd(bool success, TimeMs now) {
  switch (state(now)) {
    case CircuitState::kOpen:
      // A call from before the circuit opened.
      return;
    case CircuitState::kHalfOpen:
      OnCancel();
      if (!success) return Open(now);
      if (++m_successes < m_options.probes_to_close) return;
      m_open = false;
      m_current = m_previous = Window{};
      m_window_start = now;
      return;
    case CircuitState::kClosed:
      break;
  }
  Roll(now);
  ++m_current.calls;
  if (success) return;
  ++m_current.failures;
  const std::uint32_t calls = m_current.calls + m_previous.calls;
  const std::uint32_t failures = m_current.failures + m_previous.failures;
  if (calls < m_options.min_sample) return;
  if (failures >= m_options.failure_share * calls) Open(now);
}

void CircuitBreaker::Open(TimeMs now) {
  m_open = true;
  m_opened = now;
  m_probes = 0;
  m_successes = 0;
}

void CircuitBreaker::Roll(TimeMs now) {
  const DurationMs age = now - m_window_start;
  if (age < m_options.window) return;
  m_previous = age < m_options.window * 2 ? m_current : Window{};
  m_current = Window{};
  m_window_start = now;
}

}  // namespace yuccamoor
