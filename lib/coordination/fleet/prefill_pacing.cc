#include "yuccamoor/coordination/fleet/prefill_pacing.h"

#include <algorithm>
#include <cmath>

namespace yuccamoor::fleet {

namespace {

// Parts of an engine's time that prefill gets at most and at least. A burst of
// prompts and the prompts that follow it until a stream's next event take
// (interval + burst) / (1 - share), with the interval that the event takes
// without any. The longer that interval, the less is left for prefill.
constexpr double kMaxPrefillShare = 0.5;
constexpr double kMinPrefillShare = 0.4;
constexpr double kIntervalsPerGap = 2;
// Allowance for prompts that other nodes send before this one is reported to
// them.
constexpr double kUnreportedPromptsMs = 5;
// Margin that pauses usually leave below their limit, as part of it.
constexpr double kNearDeadlineMargin = 0.24;
// Fraction of the burst limit that applies to a prompt with jitter 0.
constexpr double kMinJitter = 0.7;

// An estimate of when one of the running requests ends and leaves its slot.
constexpr DurationMs kFullBatchWait{50};
// An engine that takes longer than usual by this factor is slow for a moment.
constexpr double kSlowMoment = 1.4;
constexpr DurationMs kSlowMomentWait{100};
// The rest of a gap's limit is left for what the estimate misses.
constexpr double kUsablePartOfGap = 0.85;

double PrefillShare(const EnginePace& pace) {
  if (pace.max_event_gap == DurationMs(0)) return kMaxPrefillShare;
  const auto gap_ms = static_cast<double>(pace.max_event_gap.ms());
  return std::clamp(1 - kIntervalsPerGap * pace.event_interval_ms / gap_ms,
                    kMinPrefillShare, kMaxPrefillShare);
}

// Returns the longest burst of prefill, by the present pace, that keeps the
// engine's streams on time, also if a slow moment begins.
double MaxBurstMs(const PrefillLoad& engine, PromptUrgency urgency) {
  const auto gap_ms = static_cast<double>(engine.pace.max_event_gap.ms());
  double burst_ms = gap_ms * (1 - PrefillShare(engine.pace)) -
                    engine.pace.EventIntervalMs(engine.requests) -
                    kUnreportedPromptsMs;
  if (urgency == PromptUrgency::kNearDeadline) {
    burst_ms += gap_ms * kNearDeadlineMargin;
  }
  return std::max(0.0, burst_ms);
}

// Returns the largest backlog, the prompt included, with which it may be sent.
DurationMs MaxBacklog(const PrefillLoad& engine, const PromptOffer& prompt) {
  const double jitter = kMinJitter + (1 - kMinJitter) * prompt.jitter;
  const double limit = MaxBurstMs(engine, prompt.urgency) * jitter;
  return DurationMs(
      static_cast<std::int64_t>(limit / PrefillShare(engine.pace)));
}

}  // namespace

DurationMs ReservedPrefill(std::uint32_t tokens, const EnginePace& pace) {
  return DurationMs(static_cast<std::int64_t>(
      std::floor(pace.PrefillMs(tokens)) / PrefillShare(pace)));
}

void RecordPrompt(Endpoint& engine, std::uint32_t tokens, TimeMs now) {
  engine.prefill_until = std::max(engine.prefill_until, now) +
                         ReservedPrefill(tokens, engine.PaceAt(now));
}

DurationMs PrefillBacklog(const Endpoint& engine, TimeMs now) {
  return std::max(DurationMs(0), engine.prefill_until - now);
}

PrefillLoad PrefillLoadOf(const Endpoint& engine, TimeMs now) {
  return {engine.load(), engine.entry.slots, PrefillBacklog(engine, now),
          engine.PaceAt(now)};
}

bool WaitsForMoment(const PrefillLoad& engine, const PromptOffer& prompt) {
  const EnginePace& pace = engine.pace;
  if (pace.momentary < kSlowMoment || engine.requests == 0) return false;
  // Held back, the prompt itself is late.
  if (prompt.urgency == PromptUrgency::kNearDeadline) return false;
  const double delay_ms =
      pace.EventIntervalMs(engine.requests) + pace.PrefillMs(prompt.tokens);
  const auto gap_ms = static_cast<double>(pace.max_event_gap.ms());
  return delay_ms > gap_ms * kUsablePartOfGap;
}

DurationMs PromptWait(const PrefillLoad& engine, const PromptOffer& prompt) {
  if (engine.requests >= engine.slots) {
    return std::max(engine.backlog, kFullBatchWait);
  }
  // Without a limit, gaps between events do not matter.
  if (engine.pace.max_event_gap == DurationMs(0)) return DurationMs(0);
  if (WaitsForMoment(engine, prompt)) {
    return std::max(engine.backlog, kSlowMomentWait);
  }
  const DurationMs backlog_after =
      engine.backlog + ReservedPrefill(prompt.tokens, engine.pace);
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
