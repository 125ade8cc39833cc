/// \file
/// \brief Implementation of the exponential backoff.

#include "yuccamoor/coordination/backoff.h"

#include <algorithm>
#include <cassert>

namespace yuccamoor {

DurationMs BackoffDelay(const BackoffLimits& limits, std::uint32_t failures,
                        double random) {
  assert(random >= 0 && random < 1 && "random must be in [0, 1)");
  if (failures == 0) return DurationMs(0);
  constexpr std::uint32_t kMaxDoublings = 30;
  const std::uint32_t doublings = std::min(failures - 1, kMaxDoublings);
  const DurationMs full =
      std::min(limits.longest, limits.first * (std::int64_t{1} << doublings));
  const DurationMs half = full / 2;
  const auto jitter = static_cast<double>((full - half).ms()) * random;
  return half + DurationMs(static_cast<std::int64_t>(jitter));
}

}  // namespace yuccamoor
