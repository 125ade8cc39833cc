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
void NotePrompt(Endpoint& engine, std::uint32_t tokens, TimeMs now);

/// Returns how long the prompts sent so far still take of the engine's time,
/// the steps between them included.
DurationMs PrefillBacklog(const Endpoint& engine, TimeMs now);

/// Whether a prompt may be sent now.
bool AllowsPrompt(const Endpoint& engine, std::uint32_t tokens, TimeMs now);

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_PREFILL_PACING_H_
