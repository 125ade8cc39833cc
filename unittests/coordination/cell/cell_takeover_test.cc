/// \file
/// \brief Takeovers and outages of the service at the times of production. The
/// figures that docs/design/leadership.md quotes are printed on success with
/// `-s`.

#include <catch2/catch.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "coordination/cell/world/cell_world.h"

namespace yuccamoor::world {
namespace {

constexpr DurationMs kWarmUp{15'000};
constexpr DurationMs kLong{600'000};

Schedule Production(std::uint64_t seed, bool use_holds) {
  Schedule schedule;
  schedule.seed = seed;
  schedule.production_times = true;
  schedule.noise = false;
  schedule.use_holds = use_holds;
  schedule.engines_check_epoch = seed % 2 == 0;
  return schedule;
}

/// What happens to whom in a trace.
struct Situation {
  std::string name;
  bool use_holds;
  std::vector<FaultKind> to_leader;
  std::vector<FaultKind> to_successor;
  DurationMs duration;
  /// Whether loads and answers go on in the second half of it.
  bool cold_served;
  bool warm_served;
  std::uint64_t takeovers;
};

}  // namespace

TEST_CASE("New loads come within five seconds of a leader's kill",
          "[takeover]") {
  constexpr DurationMs kTarget{5'000};
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CellWorld world(Production(seed, true));
    world.RunFor(kWarmUp);
    INFO("seed " << seed);
    const std::size_t leader = world.Leader();
    REQUIRE(leader != kSchedulers);
    const std::uint64_t loads = world.outcome().loads;
    const TimeMs kill = world.now();
    world.Apply(Fault{kill, FaultKind::kKill, leader, 0, kLong});
    // A load that was under way as the leader died does not count.
    world.RunFor(kOrderTimeout);
    const std::uint64_t last = world.outcome().loads;
    CHECK(last <= loads + kMaxInFlight);
    while (world.outcome().loads == last && world.now() < kill + kTarget) {
      world.RunFor(kStep);
    }
    INFO("first load after " << world.now() - kill);
    CHECK(world.now() < kill + kTarget);
    CHECK(world.outcome().violations.empty());
  }
}

TEST_CASE("Each way to lead does in each trace what the design says",
          "[takeover]") {
  using enum FaultKind;
  const DurationMs minute(60'000);
  const Situation trace = GENERATE_COPY(
      Situation{
          "outage, promises", true, {kServiceDown}, {}, kLong, true, true, 0},
      Situation{"outage, no promises",
                false,
                {kServiceDown},
                {},
                kLong,
                false,
                false,
                0},
      Situation{"outage, a successor's VM dies",
                true,
                {kServiceDown},
                {kKill},
                kLong,
                true,
                true,
                0},
      Situation{"outage, a successor is silent",
                true,
                {kServiceDown},
                {kFreeze},
                minute,
                false,
                false,
                0},
      Situation{"leader cut from the service alone",
                true,
                {kCutFromService},
                {},
                minute,
                true,
                true,
                1},
      Situation{"leader isolated", true, {kIsolate}, {}, minute, true, true, 1},
      Situation{"leader paused", true, {kFreeze}, {}, minute, true, true, 1});
  CellWorld world(Production(7, trace.use_holds));
  world.RunFor(kWarmUp);
  const std::size_t leader = world.Leader();
  REQUIRE(leader != kSchedulers);
  const std::uint64_t takeovers = world.outcome().takeovers;
  for (const FaultKind kind : trace.to_leader) {
    world.Apply(Fault{world.now(), kind, leader, 0, trace.duration});
  }
  for (const FaultKind kind : trace.to_successor) {
    const std::size_t successor = (leader + 1) % kSchedulers;
    world.Apply(Fault{world.now(), kind, successor, 0, trace.duration});
  }
  world.RunFor(trace.duration / 2);
  const Outcome half = world.outcome();
  world.RunFor(trace.duration / 2 - DurationMs(1'000));
  const Outcome end = world.outcome();
  INFO(trace.name << ": in the second half " << end.loads - half.loads
                  << " loads, " << end.served - half.served << " answers");
  CHECK((end.loads > half.loads) == trace.cold_served);
  CHECK((end.served > half.served) == trace.warm_served);
  CHECK(end.takeovers == takeovers + trace.takeovers);
  world.RunFor(minute);
  CHECK(world.Leader() != kSchedulers);
  CHECK(world.outcome().served > end.served);
  CHECK(world.outcome().violations.empty());
}

}  // namespace yuccamoor::world
