#include "yuccamoor/coordination/fleet/queue_progress.h"

#include <algorithm>
#include <cstdint>

namespace yuccamoor::fleet {

namespace {

// What was sent within less time says little about what will be.
constexpr DurationMs kShortestObservation{500};
// The least share of the engine that a waiting prompt is taken to get.
constexpr double kLeastProgress = 0.05;

DurationMs Scaled(DurationMs time, double factor) {
  return DurationMs(
      static_cast<std::int64_t>(static_cast<double>(time.ms()) * factor));
}

}  // namespace

void QueueProgress::OnSent(DurationMs work, bool came_later) {
  m_sent = m_sent + work;
  if (came_later) m_sent_out_of_turn = m_sent_out_of_turn + work;
}

DurationMs QueueProgress::ExpectedWait(DurationMs wait,
                                       DurationMs waited) const {
  if (waited < kShortestObservation || m_sent_out_of_turn == DurationMs(0)) {
    return wait;
  }
  const double passed_over = static_cast<double>(m_sent_out_of_turn.ms()) /
                             static_cast<double>(m_sent.ms());
  const double progress = std::max(1 - passed_over, kLeastProgress);
  // With hardly anything ahead the prompt still waits for a pause in what goes
  // before it. There was none for as long as it has waited.
  const DurationMs until_pause = Scaled(waited, passed_over);
  return std::max(Scaled(wait, 1 / progress), until_pause);
}

}  // namespace yuccamoor::fleet
