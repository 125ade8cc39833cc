/// \file
/// \brief Tests of the ageing frequency sketch.

#include "yuccamoor/coordination/placement/frequency_sketch.h"

#include <catch2/catch.hpp>
#include <map>
#include <pcg_random.hpp>

#include "coordination/placement/policy_fixture.h"

namespace yuccamoor::testing {
namespace {

constexpr DurationMs kHalfLife{60'000};

TEST_CASE("A steady rate is found again, and halves with each half-life",
          "[placement]") {
  FrequencySketch sketch(256, kHalfLife);
  TimeMs now(1'000'000'000);
  for (int second = 0; second < 1'000; ++second) {
    sketch.Add(Target(1), 4, now);
    now = now + DurationMs(1'000);
  }
  CHECK(sketch.RatePerSecond(Target(1), now) == Approx(4).epsilon(0.02));
  CHECK(sketch.RatePerSecond(Target(1), now + kHalfLife) ==
        Approx(2).epsilon(0.02));
  CHECK(sketch.RatePerSecond(Target(2), now) == 0);
}

TEST_CASE("A sketch that is too narrow overestimates, never underestimates",
          "[placement]") {
  FrequencySketch narrow(32, kHalfLife);
  FrequencySketch wide(65'536, kHalfLife);
  pcg32 random(7);
  TimeMs now;
  for (int i = 0; i < 2'000; ++i) {
    const AdapterVersion target = Target(static_cast<int>(random(300)));
    const std::uint32_t requests = 1 + random(3);
    now = now + DurationMs(random(50'000));
    narrow.Add(target, requests, now);
    wide.Add(target, requests, now);
  }
  for (int i = 0; i < 300; ++i) {
    const double exact = wide.RatePerSecond(Target(i), now);
    CHECK(narrow.RatePerSecond(Target(i), now) >= exact * 0.999);
  }
  CHECK(narrow.Bytes() == std::size_t{32} * 3 * sizeof(double));
}

}  // namespace
}  // namespace yuccamoor::testing
