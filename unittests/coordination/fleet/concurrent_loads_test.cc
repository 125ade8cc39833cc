/// \file
/// \brief Tests of the estimated number of loads in flight.

#include "yuccamoor/coordination/fleet/concurrent_loads.h"

#include <catch2/catch.hpp>

namespace yuccamoor::fleet {

// The estimate rose over many samples, while all engines began loads at once.
TEST_CASE("A fleet that starts to load is seen by the first engines",
          "[fleet][load]") {
  ConcurrentLoads loads;
  CHECK(loads.AtMost(90, TimeMs(0)) == 0);
  loads.OnSample(EndpointId("e1"), 1, TimeMs(0));
  CHECK(loads.Expected(90, TimeMs(20)) == 90);
  CHECK(loads.AtMost(90, TimeMs(20)) == 180);
  loads.OnSample(EndpointId("e2"), 0, TimeMs(30));
  loads.OnSample(EndpointId("e3"), 2, TimeMs(30));
  CHECK(loads.Expected(90, TimeMs(40)) == 90);
}

// Loads that have ended long ago kept engines from loading more than one.
TEST_CASE("Old samples do not count as loads in flight", "[fleet][load]") {
  ConcurrentLoads loads;
  loads.OnSample(EndpointId("e1"), 4, TimeMs(0));
  loads.OnSample(EndpointId("e2"), 0, TimeMs(1'000));
  CHECK(loads.Expected(90, TimeMs(1'000)) == 0);
  loads.OnSample(EndpointId("e1"), 0, TimeMs(1'100));
  loads.Expire(TimeMs(3'000));
  CHECK(loads.AtMost(90, TimeMs(1'100)) == 0);
}

}  // namespace yuccamoor::fleet
