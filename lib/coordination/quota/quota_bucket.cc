#include "yuccamoor/coordination/quota/quota_bucket.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace yuccamoor::fleet {

namespace {

constexpr double kMsPerSecond = 1'000;
constexpr double kLongestWaitMs = 3'600'000;

}  // namespace

void QuotaBucket::SetFlow(double rate_per_second, double depth, TimeMs now) {
  const auto elapsed_ms = static_cast<double>((now - m_filled).ms());
  m_filled = std::max(m_filled, now);
  m_level += m_rate * std::max(elapsed_ms, 0.0) / kMsPerSecond;
  m_level = std::min(m_level, std::min(m_depth, depth));
  m_rate = rate_per_second;
  m_depth = depth;
}

DurationMs QuotaBucket::TimeUntil(double amount) const {
  if (m_level >= amount) return DurationMs(0);
  const double wait_ms =
      m_rate > 0 ? (amount - m_level) / m_rate * kMsPerSecond : kLongestWaitMs;
  return DurationMs(
      static_cast<std::int64_t>(std::ceil(std::min(wait_ms, kLongestWaitMs))));
}

}  // namespace yuccamoor::fleet
