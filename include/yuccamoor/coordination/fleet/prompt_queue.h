/// \file
/// \brief Admits the prompts of all nodes to one engine, at its holder.
///
/// Load pattern: many nodes have prompts for the same engine at once. If each
/// decided by what it last heard of the engine's load, all of them would send
/// at the same moment, and every stream at the engine would pause. The holder
/// sees all of them, and can tell each when its turn comes.

#ifndef YUCCAMOOR_COORDINATION_FLEET_PROMPT_QUEUE_H_
#define YUCCAMOOR_COORDINATION_FLEET_PROMPT_QUEUE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

#include "yuccamoor/coordination/fleet/prefill_pacing.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor::fleet {

/// Identifies a request for admission: the node, and its number there.
struct AdmissionId {
  NodeId node;
  std::uint64_t number = 0;

  friend auto operator<=>(const AdmissionId&, const AdmissionId&) = default;
};

/// A prompt that a node wants to send.
struct PendingPrompt {
  AdmissionId id;
  std::uint32_t tokens = 0;
  /// 0 is the highest priority.
  int priority = 0;
  /// The prompt has to be sent by this time for its request to be on time.
  TimeMs send_by;
};

/// The prompts that wait for one engine, and those that were admitted and not
/// yet sent. Prompts that can still be on time come first, by priority and then
/// by the time that they have left.
class PromptQueue {
 public:
  /// Returns the estimated time until the prompt may be sent. Zero admits it:
  /// room is reserved for a moment.
  DurationMs Quote(const PendingPrompt& prompt, const PrefillLoad& load,
                   TimeMs now);
  /// Queues a prompt until it is admitted, or refreshes it. A prompt that is
  /// not refreshed expires. Returns the estimated time until it is admitted.
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
    std::uint32_t tokens = 0;
    TimeMs expires;
  };
  struct QueuedPrompt {
    PendingPrompt prompt;
    TimeMs queued_at;
    TimeMs refreshed_at;
  };

  void Expire(TimeMs now);
  PrefillLoad WithReservations(PrefillLoad load) const;
  DurationMs WaitBehind(const PendingPrompt& prompt, const PrefillLoad& load,
                        TimeMs now) const;
  void Reserve(const PendingPrompt& prompt, TimeMs now);
  static bool GoesBefore(const PendingPrompt& first,
                         const PendingPrompt& second, TimeMs now);

  std::map<AdmissionId, Reservation> m_reserved;
  std::vector<QueuedPrompt> m_queue;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_PROMPT_QUEUE_H_
