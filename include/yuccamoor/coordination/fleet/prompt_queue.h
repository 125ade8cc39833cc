/// \file
/// \brief Admits the prompts of all nodes to one engine, at its holder.
///
/// Load pattern: many nodes have prompts for the same engine at once. If each
/// decided by what it last heard of the engine's load, all of them would send
/// at the same moment, and every stream at the engine would pause. The holder
/// sees all of them, and can tell each when its turn comes.

#ifndef YUCCAMOOR_COORDINATION_FLEET_PROMPT_QUEUE_H_
#define YUCCAMOOR_COORDINATION_FLEET_PROMPT_QUEUE_H_

#include <map>
#include <vector>

#include "yuccamoor/coordination/fleet/fair_order.h"
#include "yuccamoor/coordination/fleet/pending_prompt.h"
#include "yuccamoor/coordination/fleet/prefill_pacing.h"
#include "yuccamoor/coordination/fleet/queue_progress.h"
#include "yuccamoor/state/clock.h"

namespace yuccamoor::fleet {

/// The prompts that wait for one engine, and those that were admitted and not
/// yet sent. FairOrder decides on the order.
class PromptQueue {
 public:
  /// Returns the estimated time until the prompt may be sent. Zero admits it:
  /// room is reserved for a moment.
  DurationMs Quote(const PendingPrompt& prompt, const PrefillLoad& load,
                   TimeMs now);
  /// Queues a prompt until it is admitted, or refreshes it. A prompt that is
  /// not refreshed expires. Returns the estimated time until it is admitted,
  /// which grows while later prompts go before it or before one ahead of it.
  DurationMs Enqueue(const PendingPrompt& prompt, const PrefillLoad& load,
                     TimeMs now);
  /// Records that a prompt was sent: the load that is passed in contains it
  /// from now on.
  void OnSent(const AdmissionId& id);
  /// Returns the queued prompts that are admitted now, in order.
  std::vector<AdmissionId> Admit(const PrefillLoad& load, TimeMs now);

  bool empty() const { return m_queue.empty() && m_reserved.empty(); }

 private:
  struct Reservation {
    PendingPrompt prompt;
    TimeMs arrived_at;
    TimeMs expires;
    /// The engine's load contains the prompt, but not its request yet.
    bool sent = false;
  };
  struct QueuedPrompt {
    PendingPrompt prompt;
    TimeMs queued_at;
    TimeMs refreshed_at;
    QueueProgress progress;
  };

  void Expire(TimeMs now);
  FairOrder::Prompts Waiting() const;
  PrefillLoad WithReservations(PrefillLoad load) const;
  /// Returns the estimated wait of \p asked, which need not be in the queue.
  DurationMs WaitBehind(const QueuedPrompt& asked, const PrefillLoad& load,
                        TimeMs now) const;
  void Reserve(const QueuedPrompt& queued, TimeMs now);
  /// Drops the reservation of a prompt that was not sent, if it has one.
  void CancelReservation(const AdmissionId& id);
  std::vector<QueuedPrompt>::iterator Find(const AdmissionId& id);

  std::map<AdmissionId, Reservation> m_reserved;
  std::vector<QueuedPrompt> m_queue;
  FairOrder m_order;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_PROMPT_QUEUE_H_
