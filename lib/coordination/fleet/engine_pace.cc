#include "yuccamoor/coordination/fleet/engine_pace.h"

#include <algorithm>
#include <cmath>

namespace yuccamoor::fleet {

namespace {

// Samples after which what a line was before has lost most of its weight.
constexpr double kLineMemory = 80;
constexpr double kInitialWeight = 20;
// A sample this many times above the line counts as if it lay there.
constexpr double kMaxAboveLine = 3;
// How far a line's slope may go from where it began.
constexpr double kMaxSlopeFactor = 8;
constexpr double kUsualPercent = 100;

// Streams run beside prompts that are prefilled, which widens their intervals:
// the shorter ones show what the engine takes by itself.
constexpr double kIntervalWeightAbove = 0.25;
constexpr double kFirstEventWeightAbove = 0.25;
constexpr double kTypicalPromptTokens = 800;
constexpr double kTypicalStreams = 8;
constexpr double kTypicalFirstEventOverheadMs = 30;

// Part of its distance to a sample by which an endpoint's factor follows: the
// first samples count more, and those below it more than those above.
constexpr double kStep = 0.1;
constexpr double kFirstStep = 0.5;
constexpr double kStepUpPart = 0.6;
// Of one sample's logarithm: what lies farther off counts as if it lay there.
constexpr double kMaxLogStep = 1;
// Without samples, an endpoint's factor goes back to the usual one.
constexpr double kLastingFadesMs = 20'000;
constexpr double kStatementFadesMs = 250;
constexpr double kMeanFadesMs = 30'000;
constexpr double kStatedWeight = 0.1;

double Faded(TimeMs since, TimeMs now, double fades_ms) {
  return std::exp(-static_cast<double>((now - since).ms()) / fades_ms);
}

double Bounded(double factor) {
  return std::clamp(factor, 1 / EndpointSpeed::kMaxFactor,
                    EndpointSpeed::kMaxFactor);
}

}  // namespace

FadingLine::FadingLine(double offset, double slope, double typical_x)
    : m_weight(kInitialWeight),
      m_mean_x(typical_x),
      m_mean_y(offset + slope * typical_x),
      m_variance_x(typical_x * typical_x / 4),
      m_covariance(slope * m_variance_x),
      m_slope(slope),
      m_min_slope(slope / kMaxSlopeFactor),
      m_max_slope(slope * kMaxSlopeFactor) {}

double FadingLine::At(double x) const {
  return m_mean_y + m_slope * (x - m_mean_x);
}

void FadingLine::Add(double x, double y, double weight_above) {
  const double expected = std::max(At(x), 1.0);
  const double bounded = std::min(y, expected * kMaxAboveLine);
  const double weight = bounded > expected ? weight_above : 1;
  m_weight = m_weight * (1 - 1 / kLineMemory) + weight;
  const double share = weight / m_weight;
  const double dx = x - m_mean_x;
  const double dy = bounded - m_mean_y;
  m_mean_x += share * dx;
  m_mean_y += share * dy;
  m_variance_x = (1 - share) * (m_variance_x + share * dx * dx);
  m_covariance = (1 - share) * (m_covariance + share * dx * dy);
  if (m_variance_x <= 0) return;
  m_slope = std::clamp(m_covariance / m_variance_x, m_min_slope, m_max_slope);
}

double EnginePace::EventIntervalMs(std::uint32_t streams) const {
  return (event_interval_ms + event_interval_ms_per_stream * streams) *
         momentary;
}

double EnginePace::PrefillMs(std::uint32_t tokens) const {
  return tokens / prefill_tokens_per_ms * momentary;
}

EnginePace EnginePace::SlowedBy(double factor) const {
  EnginePace slowed = *this;
  slowed.prefill_tokens_per_ms /= factor;
  slowed.event_interval_ms *= factor;
  slowed.event_interval_ms_per_stream *= factor;
  return slowed;
}

void EndpointSpeed::Add(const PaceSample& sample, TimeMs now) {
  if (sample.interval_factor && *sample.interval_factor > 0) {
    m_log_factor = std::log(Lasting(now));
    const double away =
        std::clamp(std::log(*sample.interval_factor) - m_log_factor,
                   -kMaxLogStep, kMaxLogStep);
    const double step = std::max(kStep, kFirstStep / ++m_samples);
    m_log_factor += away * (away > 0 ? step * kStepUpPart : step);
    m_seen_at = now;
  }
  if (sample.work_time_percent) {
    m_stated_factor = Bounded(*sample.work_time_percent / kUsualPercent);
    m_mean_stated += (m_stated_factor - m_mean_stated) * kStatedWeight;
    m_stated_at = now;
  }
}

double EndpointSpeed::Lasting(TimeMs now) const {
  return Bounded(
      std::exp(m_log_factor * Faded(m_seen_at, now, kLastingFadesMs)));
}

double EndpointSpeed::Momentary(TimeMs now) const {
  if (!m_stated_at) return 1;
  const double mean =
      1 + (m_mean_stated - 1) * Faded(*m_stated_at, now, kMeanFadesMs);
  return mean +
         (m_stated_factor - mean) * Faded(*m_stated_at, now, kStatementFadesMs);
}

ServicePace::ServicePace()
    : m_first_event(kTypicalFirstEventOverheadMs,
                    1 / EnginePace().prefill_tokens_per_ms,
                    kTypicalPromptTokens),
      m_interval(EnginePace().event_interval_ms,
                 EnginePace().event_interval_ms_per_stream, kTypicalStreams) {}

void ServicePace::OnFirstEvent(std::uint32_t prompt_tokens, DurationMs after) {
  m_first_event.Add(prompt_tokens, static_cast<double>(after.ms()),
                    kFirstEventWeightAbove);
}

double ServicePace::OnEvents(std::uint32_t streams, double interval_ms) {
  const double factor = interval_ms / std::max(m_interval.At(streams), 1.0);
  m_interval.Add(streams, interval_ms, kIntervalWeightAbove);
  return factor;
}

EnginePace ServicePace::Usual() const {
  EnginePace pace;
  pace.prefill_tokens_per_ms = 1 / m_first_event.slope();
  pace.event_interval_ms = std::max(m_interval.At(0), 1.0);
  pace.event_interval_ms_per_stream = m_interval.slope();
  return pace;
}

}  // namespace yuccamoor::fleet
