#include "yuccamoor/coordination/fleet/prefill_pacing.h"

#include <algorithm>

namespace yuccamoor::fleet {

namespace {

// Prompt tokens that an engine prefills per millisecond.
constexpr std::int64_t kPrefillTokensPerMs = 38;
// Prefill gets 1/kPrefillShareDivisor of the engine's time. A stream's event
// takes five steps and is late after 250 ms. With this share, a burst of
// prompts and the prompts that follow it within these steps take (5 steps +
// burst) / (1 - 1/2).
constexpr std::int64_t kPrefillShareDivisor = 2;
constexpr double kMaxEventIntervalMs = 250;
constexpr double kStepsPerEvent = 5;
// Duration of a step with one stream, and the time that each further stream
// adds.
constexpr double kStepMs = 5.5;
constexpr double kStepMsPerStream = 0.04;
// Allowance for prompts that other nodes send before this one is reported to
// them.
constexpr double kUnreportedPromptsMs = 5;
// Margin that pauses usually leave below their limit.
constexpr double kNearDeadlineExtraMs = 60;
// Fraction of the burst limit that applies to a prompt with jitter 0.
constexpr double kMinJitter = 0.7;

// An estimate of when one of the running requests ends and leaves its slot.
constexpr DurationMs kFullBatchWait{50};

// Returns the longest burst of prefill that keeps the engine's streams on time.
double MaxBurstMs(std::uint32_t requests, PromptUrgency urgency) {
  const double step_ms = kStepMs + kStepMsPerStream * requests;
  const double burst_ms = kMaxEventIntervalMs / kPrefillShareDivisor -
                          kStepsPerEvent * step_ms - kUnreportedPromptsMs;
  return urgency == PromptUrgency::kNearDeadline
             ? burst_ms + kNearDeadlineExtraMs
             : burst_ms;
}

// Returns the largest backlog, the prompt included, with which it may be sent.
DurationMs MaxBacklog(const PrefillLoad& engine, const PromptOffer& prompt) {
  const double jitter = kMinJitter + (1 - kMinJitter) * prompt.jitter;
  const double limit = MaxBurstMs(engine.requests, prompt.urgency) * jitter;
  return DurationMs(static_cast<std::int64_t>(limit * kPrefillShareDivisor));
}

}  // namespace

DurationMs ReservedPrefill(std::uint32_t tokens) {
  return DurationMs(tokens / kPrefillTokensPerMs) * kPrefillShareDivisor;
}

void RecordPrompt(Endpoint& engine, std::uint32_t tokens, TimeMs now) {
  engine.prefill_until =
      std::max(engine.prefill_until, now) + ReservedPrefill(tokens);
}

DurationMs PrefillBacklog(const Endpoint& engine, TimeMs now) {
  return std::max(DurationMs(0), engine.prefill_until - now);
}

PrefillLoad PrefillLoadOf(const Endpoint& engine, TimeMs now) {
  return {engine.load(), engine.entry.slots, PrefillBacklog(engine, now)};
}

DurationMs PromptWait(const PrefillLoad& engine, const PromptOffer& prompt) {
  if (engine.requests >= engine.slots) {
    return std::max(engine.backlog, kFullBatchWait);
  }
  const DurationMs backlog_after =
      engine.backlog + ReservedPrefill(prompt.tokens);
  const DurationMs excess = backlog_after - MaxBacklog(engine, prompt);
  // A prompt above the limit is sent only while no other one is prefilled.
  return std::clamp(excess, DurationMs(0), engine.backlog);
}

bool AllowsPrompt(const PrefillLoad& engine, const PromptOffer& prompt) {
  return PromptWait(engine, prompt) == DurationMs(0);
}

bool AllowsPrompt(const Endpoint& engine, const PromptOffer& prompt,
                  TimeMs now) {
  return AllowsPrompt(PrefillLoadOf(engine, now), prompt);
}

}  // namespace yuccamoor::fleet
