#include "yuccamoor/coordination/fleet/permit_pacer.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace yuccamoor::fleet {

namespace {

constexpr double kMsPerSecond = 1'000;
constexpr double kMinPerSecond = 0.5;
// Permits not used for this long can be used at once.
constexpr double kBurstMs = 250;

double IntervalMs(double per_second) { return kMsPerSecond / per_second; }

}  // namespace

double PermitRate(double limit_per_second) {
  return std::max(limit_per_second, kMinPerSecond);
}

double PermitPacer::EarliestMs(double interval_ms, TimeMs now) {
  const auto now_ms = static_cast<double>(now.ms());
  if (!m_used_up_ms) m_used_up_ms = now_ms + interval_ms + kBurstMs;
  return std::max(now_ms, *m_used_up_ms - kBurstMs);
}

DurationMs PermitPacer::WaitTime(double per_second, TimeMs now) {
  const double earliest = EarliestMs(IntervalMs(per_second), now);
  const double wait = earliest - static_cast<double>(now.ms());
  return DurationMs(static_cast<std::int64_t>(std::ceil(wait)));
}

PermitDecision PermitPacer::Request(double per_second, DurationMs max_wait,
                                    TimeMs now) {
  const DurationMs wait = WaitTime(per_second, now);
  if (wait > max_wait) return {false, wait};
  m_used_up_ms = std::max(*m_used_up_ms, static_cast<double>(now.ms())) +
                 IntervalMs(per_second);
  return {true, wait};
}

}  // namespace yuccamoor::fleet
