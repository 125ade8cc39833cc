/// \file
/// \brief Exponential backoff with jitter.

#ifndef YUCCAMOOR_COORDINATION_BACKOFF_H_
#define YUCCAMOOR_COORDINATION_BACKOFF_H_

#include <cstdint>

#include "yuccamoor/state/clock.h"

namespace yuccamoor {

/// The bounds of a backoff.
struct BackoffLimits {
  DurationMs first{50};
  DurationMs longest{5'000};
};

/// Returns the wait before the next try after \p failures failures in a row:
/// half of min(longest, first * 2^(failures-1)) plus a random share of the
/// other half. \p random is uniform in [0, 1). Zero failures wait for nothing.
DurationMs BackoffDelay(const BackoffLimits& limits, std::uint32_t failures,
                        double random);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_BACKOFF_H_
