/// \file
/// \brief The rate limit of the stand-ins.

#ifndef YUCCAMOOR_STANDINS_TOKEN_BUCKET_H_
#define YUCCAMOOR_STANDINS_TOKEN_BUCKET_H_

#include <algorithm>

#include "yuccamoor/state/clock.h"

namespace yuccamoor {

/// A token bucket. A rate of zero never refuses.
class TokenBucket {
 public:
  TokenBucket(double per_second, double burst)
      : m_per_second(per_second), m_burst(burst), m_tokens(burst) {}

  /// Takes one token if there is one.
  bool Take(TimeMs now) {
    if (m_per_second <= 0) return true;
    constexpr double kMsPerSecond = 1000;
    const auto elapsed = static_cast<double>((now - m_last).ms());
    m_tokens =
        std::min(m_burst, m_tokens + elapsed * m_per_second / kMsPerSecond);
    m_last = now;
    if (m_tokens < 1) return false;
    m_tokens -= 1;
    return true;
  }

 private:
  double m_per_second;
  double m_burst;
  double m_tokens;
  TimeMs m_last;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_STANDINS_TOKEN_BUCKET_H_
