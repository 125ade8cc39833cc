/// \file
/// \brief Tests of the clocks.

#include "yuccamoor/state/clock.h"

#include <catch2/catch.hpp>

namespace yuccamoor {

TEST_CASE("A manual clock moves only when told to", "[clock]") {
  ManualClock clock;
  const TimeMs start = clock.Now();
  CHECK(clock.Now() == start);
  clock.Advance(DurationMs(5));
  CHECK(clock.Now() - start == DurationMs(5));
}

TEST_CASE("The steady clock never goes back", "[clock]") {
  const SteadyClock clock;
  const TimeMs first = clock.Now();
  CHECK(clock.Now() >= first);
}

}  // namespace yuccamoor
