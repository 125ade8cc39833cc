#include "yuccamoor/coordination/fleet/prefill_pacing.h"

#include <algorithm>

namespace yuccamoor::fleet {

namespace {

// Prompt tokens that an engine prefills in a millisecond.
constexpr std::int64_t kPrefillTokensPerMs = 38;
// A stream's event takes five steps and is late after 250 ms. With this part of
// the engine's time for prefill, a burst of prompts and what follows it in
// these steps take (5 steps + burst) / (1 - 1/2).
constexpr std::int64_t kPrefillShareDivisor = 2;
constexpr double kMaxEventIntervalMs = 250;
constexpr double kStepsPerEvent = 5;
// A step of an engine with one stream, and what each further one adds.
constexpr double kStepMs = 5.5;
constexpr double kStepMsPerStream = 0.04;
// Prompts that other nodes send before they hear of this one.
constexpr double kUnreportedPromptsMs = 5;
// What pauses usually leave of their limit.
constexpr double kNearDeadlineExtraMs = 60;
// The smallest part of a burst that a held prompt may wait for.
constexpr double kMinJitter = 0.7;

// The time that a prompt takes of the part meant for prefill.
DurationMs ReservedTime(std::uint32_t tokens) {
  return DurationMs(tokens / kPrefillTokensPerMs) * kPrefillShareDivisor;
}

double MaxBurstMs(const Endpoint& engine, PromptUrgency urgency) {
  const double step_ms = kStepMs + kStepMsPerStream * engine.load();
  const double burst_ms = kMaxEventIntervalMs / kPrefillShareDivisor -
                          kStepsPerEvent * step_ms - kUnreportedPromptsMs;
  return urgency == PromptUrgency::kNearDeadline
             ? burst_ms + kNearDeadlineExtraMs
             : burst_ms;
}

}  // namespace

void RecordPrompt(Endpoint& engine, std::uint32_t tokens, TimeMs now) {
  engine.prefill_until =
      std::max(engine.prefill_until, now) + ReservedTime(tokens);
}

DurationMs PrefillBacklog(const Endpoint& engine, TimeMs now) {
  return std::max(DurationMs(0), engine.prefill_until - now);
}

bool AllowsPrompt(const Endpoint& engine, const PromptOffer& prompt,
                  TimeMs now) {
  if (engine.load() >= engine.entry.slots) return false;
  const DurationMs backlog = PrefillBacklog(engine, now);
  const DurationMs backlog_after = backlog + ReservedTime(prompt.tokens);
  const double jitter = kMinJitter + (1 - kMinJitter) * prompt.jitter;
  const double limit = MaxBurstMs(engine, prompt.urgency) * jitter;
  if (static_cast<double>(backlog_after.ms()) <= limit * kPrefillShareDivisor)
    return true;
  // Too large for what pauses leave: it goes alone.
  return backlog == DurationMs(0);
}

}  // namespace yuccamoor::fleet
