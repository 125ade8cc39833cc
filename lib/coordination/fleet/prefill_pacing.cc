#include "yuccamoor/coordination/fleet/prefill_pacing.h"

#include <algorithm>

namespace yuccamoor::fleet {

namespace {

// Prompt tokens that an engine prefills in a millisecond.
constexpr std::int64_t kPrefillTokensPerMs = 38;
// An event of a stream takes some five steps, 33 ms without prefill, and is
// late after 250 ms. With this burst, and this part of the engine's time for
// what follows it, five steps take (33 + 90) / (1 - 1/2) = 246 ms at most.
constexpr DurationMs kLongestBurst{90};
constexpr DurationMs kLongestLastBurst{150};
constexpr std::int64_t kPrefillPart = 2;

// The time that a prompt takes of the part meant for prefill.
DurationMs PacedTime(std::uint32_t tokens) {
  return DurationMs(tokens / kPrefillTokensPerMs) * kPrefillPart;
}

}  // namespace

void NotePrompt(Endpoint& engine, std::uint32_t tokens, TimeMs now) {
  engine.prefill_until =
      std::max(engine.prefill_until, now) + PacedTime(tokens);
}

DurationMs PrefillBacklog(const Endpoint& engine, TimeMs now) {
  return std::max(DurationMs(0), engine.prefill_until - now);
}

bool AllowsPrompt(const Endpoint& engine, std::uint32_t tokens,
                  PromptUrgency urgency, TimeMs now) {
  if (engine.load() >= engine.entry.slots) return false;
  const DurationMs backlog = PrefillBacklog(engine, now);
  const DurationMs burst =
      urgency == PromptUrgency::kLastChance ? kLongestLastBurst : kLongestBurst;
  return backlog == DurationMs(0) ||
         backlog + PacedTime(tokens) <= burst * kPrefillPart;
}

}  // namespace yuccamoor::fleet
