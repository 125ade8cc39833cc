/// \file
/// \brief Random schedules of racing publishers under faults: no accepted
/// publication is lost or reverted and none is seen by halves; and the same
/// checks notice each planted fault.

#include <catch2/catch.hpp>

#include "protocol/config/publish_world.h"

namespace yuccamoor {
namespace {

constexpr int kSchedulesPerCase = 2'500;
constexpr int kSteps = 400;

/// Runs the schedules of the seeds from \p first on and counts what happened.
void RunSchedules(std::uint64_t first) {
  WorldCounts total;
  for (std::uint64_t seed = first; seed < first + kSchedulesPerCase; ++seed) {
    PublishWorld world(seed, PlantedFault::kNone);
    world.Run(kSteps);
    INFO("seed " << seed);
    for (const std::string& v : world.violations()) FAIL_CHECK(v);
    REQUIRE(world.violations().empty());
    for (const auto& [status, count] : world.counts().outcomes) {
      total.outcomes[status] += count;
    }
    total.revisions += world.counts().revisions;
    total.deleted += world.counts().deleted;
  }
  // The schedules reach what they are meant for.
  CHECK(total.outcomes[PublishStatus::kAccepted] > kSchedulesPerCase);
  CHECK(total.outcomes[PublishStatus::kOverlap] > kSchedulesPerCase / 10);
  CHECK(total.deleted > 0);
}

/// Returns the number of schedules, of the first \p schedules seeds, in which
/// the checks notice the fault.
int CountNoticed(PlantedFault fault, int schedules) {
  int noticed = 0;
  for (int seed = 0; seed < schedules; ++seed) {
    PublishWorld world(static_cast<std::uint64_t>(seed), fault);
    world.Run(kSteps);
    if (!world.violations().empty()) ++noticed;
  }
  return noticed;
}

}  // namespace

TEST_CASE("No publication is lost, reverted or half seen, seeds 0",
          "[config][schedule]") {
  RunSchedules(0);
}

TEST_CASE("No publication is lost, reverted or half seen, seeds 2500",
          "[config][schedule]") {
  RunSchedules(kSchedulesPerCase);
}

TEST_CASE("No publication is lost, reverted or half seen, seeds 5000",
          "[config][schedule]") {
  RunSchedules(std::uint64_t{2} * kSchedulesPerCase);
}

TEST_CASE("No publication is lost, reverted or half seen, seeds 7500",
          "[config][schedule]") {
  RunSchedules(std::uint64_t{3} * kSchedulesPerCase);
}

TEST_CASE("Planted faults are noticed", "[config][schedule]") {
  constexpr int kSchedules = 60;
  const PlantedFault fault = GENERATE(
      PlantedFault::kSwapWithoutCompare, PlantedFault::kLostAnswerAsFailure,
      PlantedFault::kReplicaTakesLower, PlantedFault::kRootBeforeSegments,
      PlantedFault::kRewriteKeepsVersion, PlantedFault::kOverlapUnseen);
  INFO("fault " << static_cast<int>(fault));
  const int noticed = CountNoticed(fault, kSchedules);
  CHECK(noticed > 0);
}

}  // namespace yuccamoor
