/// \file
/// \brief Paces the prompts sent to each engine, so that prefilling several at
/// once does not delay the streams that run there.
///
/// Each step of an engine prefills a piece of every waiting prompt before it
/// generates the next token of the running streams. The pacing estimates how
/// long the prompts sent to an engine still take, and holds a prompt back while
/// sending it would pause the streams for longer than their limit.

#ifndef YUCCAMOOR_COORDINATION_FLEET_PREFILL_PACING_H_
#define YUCCAMOOR_COORDINATION_FLEET_PREFILL_PACING_H_

#include <cstdint>

#include "yuccamoor/coordination/fleet/endpoint_table.h"
#include "yuccamoor/state/clock.h"

namespace yuccamoor::fleet {

/// When engines are compared, a request in flight counts as much as this wait.
inline constexpr std::int64_t kWaitMsPerRequest = 8;

/// Adds a prompt that was sent to the engine to its estimated backlog.
void RecordPrompt(Endpoint& engine, std::uint32_t tokens, TimeMs now);

/// Returns the estimated time until the engine has prefilled all prompts sent
/// so far, including its steps in between; zero if it has.
DurationMs PrefillBacklog(const Endpoint& engine, TimeMs now);

/// Whether a prompt can be held back further.
enum class PromptUrgency : std::uint8_t {
  /// The prompt meets its deadline if it is sent later, or has missed it
  /// already and must not delay other streams for that.
  kCanWait,
  /// The prompt misses its deadline unless it is sent now. It may use the
  /// margin that pauses usually leave below their limit, but no more: a longer
  /// pause makes every stream at the engine late.
  kNearDeadline,
};

/// A prompt that is ready to be sent.
struct PromptOffer {
  std::uint32_t tokens = 0;
  PromptUrgency urgency = PromptUrgency::kCanWait;
  /// From 0 to 1, uniform over requests. Without it, all nodes that hold
  /// prompts back for the same engine would send at the moment its backlog
  /// allows one.
  double jitter = 1;
};

/// What an engine has to do already.
struct PrefillLoad {
  std::uint32_t requests = 0;
  std::uint32_t slots = 0;
  /// As PrefillBacklog.
  DurationMs backlog{0};
};

/// Returns the engine's load as this node knows it.
PrefillLoad PrefillLoadOf(const Endpoint& engine, TimeMs now);

/// Returns the engine time that a prompt takes, including the steps of running
/// streams in between.
DurationMs ReservedPrefill(std::uint32_t tokens);

/// Returns the estimated time until AllowsPrompt holds if nothing else is sent;
/// zero if it holds now.
DurationMs PromptWait(const PrefillLoad& engine, const PromptOffer& prompt);

/// Returns whether a prompt may be sent now. An engine whose batch is full
/// takes none: a prompt that is held back can still go to another engine that
/// loads the adapter meanwhile. A prompt too large for any limit is sent once
/// the engine has no backlog.
bool AllowsPrompt(const PrefillLoad& engine, const PromptOffer& prompt);
bool AllowsPrompt(const Endpoint& engine, const PromptOffer& prompt,
                  TimeMs now);

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_PREFILL_PACING_H_
