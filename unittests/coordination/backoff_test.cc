/// \file
/// \brief Tests of the backoff.

#include "yuccamoor/coordination/backoff.h"

#include <catch2/catch.hpp>

namespace yuccamoor {

TEST_CASE("A backoff doubles up to its limit", "[backoff]") {
  const BackoffLimits limits{DurationMs(100), DurationMs(1'000)};
  CHECK(BackoffDelay(limits, 0, 0.5) == DurationMs(0));
  CHECK(BackoffDelay(limits, 1, 0) == DurationMs(50));
  CHECK(BackoffDelay(limits, 2, 0) == DurationMs(100));
  CHECK(BackoffDelay(limits, 5, 0) == DurationMs(500));
  CHECK(BackoffDelay(limits, 1'000, 0) == DurationMs(500));
}

TEST_CASE("Jitter covers the upper half of the delay", "[backoff]") {
  const BackoffLimits limits{DurationMs(100), DurationMs(1'000)};
  CHECK(BackoffDelay(limits, 3, 0.5) == DurationMs(300));
  CHECK(BackoffDelay(limits, 3, 0.999) < DurationMs(400));
}

}  // namespace yuccamoor
