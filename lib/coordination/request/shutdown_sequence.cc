/// \file
/// \brief The phases of a graceful shutdown.

#include "yuccamoor/coordination/request/shutdown_sequence.h"

namespace yuccamoor {

void ShutdownSequence::Begin(TimeMs now) {
  if (m_phase != ShutdownPhase::kServing) return;
  m_phase = ShutdownPhase::kUnready;
  m_begun = now;
}

ShutdownPhase ShutdownSequence::Advance(const ShutdownLoad& load, TimeMs now) {
  const DurationMs elapsed = now - m_begun;
  if (m_phase == ShutdownPhase::kUnready && elapsed >= m_options.unready_time) {
    // The load was read while requests were still taken: only a later one,
    // without new arrivals, can tell that all have ended.
    m_phase = ShutdownPhase::kDraining;
    return m_phase;
  }
  if (m_phase != ShutdownPhase::kDraining) return m_phase;
  const bool ended = load.requests_in_flight == 0 && !load.unwritten_outcomes &&
                     !load.unreleased;
  if (ended) {
    m_phase = ShutdownPhase::kDone;
  } else if (elapsed >= m_options.grace) {
    m_phase = ShutdownPhase::kGraceOver;
  }
  return m_phase;
}

}  // namespace yuccamoor
