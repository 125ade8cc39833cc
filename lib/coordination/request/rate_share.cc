/// \file
/// \brief A gateway's share of a service's rate limit.

#include "yuccamoor/coordination/request/rate_share.h"

#include <algorithm>
#include <cmath>

namespace yuccamoor {
namespace {

constexpr double kMsPerSecond = 1'000;
/// The bucket holds this many seconds of the share, and at least one request.
constexpr double kBurstSeconds = 0.1;

}  // namespace

RateShare::RateShare(double limit_per_second, std::size_t assumed,
                     DurationMs grow_delay)
    : m_limit(limit_per_second),
      m_grow_delay(grow_delay),
      m_gateways(std::max<std::size_t>(assumed, 1)) {}

double RateShare::share() const {
  return m_limit / static_cast<double>(m_gateways);
}

double RateShare::Burst() const {
  return std::max(1.0, share() * kBurstSeconds);
}

void RateShare::Refill(TimeMs now) {
  const auto elapsed = static_cast<double>((now - m_refilled).ms());
  m_refilled = std::max(now, m_refilled);
  if (elapsed > 0) m_tokens += share() * elapsed / kMsPerSecond;
  m_tokens = std::min(m_tokens, Burst());
}

void RateShare::OnGateways(std::size_t live, TimeMs now) {
  Refill(now);
  live = std::max<std::size_t>(live, 1);
  if (!m_known || live >= m_gateways) {
    m_known = true;
    m_gateways = live;
    m_fewer = 0;
    return;
  }
  if (m_fewer == 0) m_fewer_since = now;
  m_fewer = std::max(m_fewer, live);
  if (now - m_fewer_since < m_grow_delay) return;
  m_gateways = m_fewer;
  m_fewer = 0;
}

void RateShare::SetLimit(double limit_per_second, TimeMs now) {
  Refill(now);
  m_limit = limit_per_second;
}

bool RateShare::TryTake(TimeMs now) {
  if (m_limit <= 0) return true;
  Refill(now);
  if (m_tokens < 1) return false;
  m_tokens -= 1;
  return true;
}

DurationMs RateShare::WaitTime(TimeMs now) {
  if (m_limit <= 0) return DurationMs(0);
  Refill(now);
  if (m_tokens >= 1) return DurationMs(0);
  const double ms = (1 - m_tokens) / share() * kMsPerSecond;
  return DurationMs(static_cast<std::int64_t>(std::ceil(ms)));
}

}  // namespace yuccamoor
