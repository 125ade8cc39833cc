/// \file
/// \brief How a waiting prompt gets on while later ones go before it.
///
/// Load pattern: an engine is kept busy by prompts that go before those that
/// wait already, because they are of higher priority or can still be on time.
/// What is ahead of a waiting prompt looks short all the time, and its turn
/// does not come.

#ifndef YUCCAMOOR_COORDINATION_FLEET_QUEUE_PROGRESS_H_
#define YUCCAMOOR_COORDINATION_FLEET_QUEUE_PROGRESS_H_

#include "yuccamoor/state/clock.h"

namespace yuccamoor::fleet {

/// What an engine was sent while one prompt waited for it.
class QueueProgress {
 public:
  /// Records a prompt that takes \p work of the engine's time. \p came_later is
  /// set if it came after the one that waits.
  void OnSent(DurationMs work, bool came_later);
  /// Returns the expected wait of a prompt that has waited for \p waited, and
  /// would wait for \p wait if no other one came. At least \p wait.
  DurationMs ExpectedWait(DurationMs wait, DurationMs waited) const;

 private:
  DurationMs m_sent{0};
  DurationMs m_sent_out_of_turn{0};
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_QUEUE_PROGRESS_H_
