/// \file
/// \brief Spaces prompts at each engine, so that prefilling several at once
/// does not hold up the streams that run there.
///
/// An engine's steps prefill a piece of every waiting prompt before the next
/// token of the running streams. The pacing estimates how long the prompts
/// sent to an engine still take, and holds a prompt back while that would lead
/// to a pause that makes the streams there late.

#ifndef YUCCAMOOR_COORDINATION_FLEET_PREFILL_PACING_H_
#define YUCCAMOOR_COORDINATION_FLEET_PREFILL_PACING_H_

#include <cstdint>

#include "yuccamoor/coordination/fleet/endpoint_table.h"
#include "yuccamoor/state/clock.h"

namespace yuccamoor::fleet {

/// Notes a prompt that was sent to the engine.
void RecordPrompt(Endpoint& engine, std::uint32_t tokens, TimeMs now);

/// Returns how long the prompts sent so far still take of the engine's time,
/// the steps between them included.
DurationMs PrefillBacklog(const Endpoint& engine, TimeMs now);

/// How long a prompt can be held back.
enum class PromptUrgency : std::uint8_t {
  /// It is on time if it is sent later, or late already: then it is not worth
  /// the pauses of others.
  kCanWait,
  /// Now or late. It may use up what pauses usually leave of their limit, but
  /// no more: a pause is the lateness of every stream at the engine.
  kNearDeadline,
};

/// A prompt that may be sent.
struct PromptOffer {
  std::uint32_t tokens = 0;
  PromptUrgency urgency = PromptUrgency::kCanWait;
  /// From 0 to 1, spread evenly over requests. Nodes that hold prompts back for
  /// the same engine would else all send at the moment at which its backlog
  /// allows one.
  double jitter = 1;
};

/// Whether a prompt may be sent now. An engine whose batch is full takes none:
/// held back, it can still go to an engine that gets the adapter meanwhile.
bool AllowsPrompt(const Endpoint& engine, const PromptOffer& prompt,
                  TimeMs now);

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_PREFILL_PACING_H_
