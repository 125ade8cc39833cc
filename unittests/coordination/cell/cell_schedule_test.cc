/// \file
/// \brief Random fault schedules against election, cell leader and residency
/// clients together, and the planted mistakes that the checks must see.

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "coordination/cell/world/cell_world.h"

namespace yuccamoor::world {
namespace {

/// Four parts in each of the two modes make 10,000 schedules.
constexpr std::uint64_t kSchedulesPerPart = 1'250;
constexpr std::uint64_t kMostForMistake = 5'000;

Schedule RandomSchedule(std::uint64_t seed, bool engines_check_epoch) {
  Random random(seed * 2 + (engines_check_epoch ? 1 : 0));
  Schedule schedule;
  schedule.seed = seed;
  schedule.engines_check_epoch = engines_check_epoch;
  const std::int64_t faults = random.Between(0, 8);
  for (std::int64_t i = 0; i < faults; ++i) {
    Fault fault;
    fault.at = TimeMs(1'000) + random.Duration(300, 3'000);
    fault.kind = static_cast<FaultKind>(
        random.Between(0, static_cast<std::int64_t>(FaultKind::kCount) - 1));
    fault.node = static_cast<std::size_t>(random.Between(0, kNodes - 1));
    fault.other = static_cast<std::size_t>(random.Between(0, kNodes - 1));
    fault.duration = random.Duration(50, 2'000);
    schedule.faults.push_back(fault);
  }
  return schedule;
}

Violations Check(const Schedule& schedule) {
  return CellWorld(schedule).Run().violations;
}

/// Removes faults as long as the schedule still breaks a promise.
Schedule Shrink(Schedule schedule) {
  for (std::size_t i = 0; i < schedule.faults.size();) {
    Schedule smaller = schedule;
    smaller.faults.erase(smaller.faults.begin() +
                         static_cast<std::ptrdiff_t>(i));
    if (Check(smaller).empty()) {
      ++i;
    } else {
      schedule = std::move(smaller);
    }
  }
  return schedule;
}

std::string Describe(const Schedule& schedule) {
  std::string text = "seed " + std::to_string(schedule.seed) +
                     (schedule.engines_check_epoch ? ", checked" : ", ignored");
  for (const Fault& fault : schedule.faults) {
    text += "\n  at " + std::to_string(fault.at.ms()) + " kind " +
            std::to_string(static_cast<int>(fault.kind)) + " node " +
            std::to_string(fault.node) + " other " +
            std::to_string(fault.other) + " for " +
            std::to_string(fault.duration.ms());
  }
  for (const std::string& violation : Check(schedule)) {
    text += "\n  -> " + violation;
  }
  return text;
}

}  // namespace

TEMPLATE_TEST_CASE_SIG("No promise breaks in random schedules", "[schedule]",
                       ((bool kEnginesCheckEpoch, std::uint64_t kPart),
                        kEnginesCheckEpoch, kPart),
                       (true, 0), (true, 1), (true, 2), (true, 3), (false, 0),
                       (false, 1), (false, 2), (false, 3)) {
  std::uint64_t served = 0;
  std::uint64_t evictions = 0;
  std::uint64_t takeovers = 0;
  const std::uint64_t first = kPart * kSchedulesPerPart + 1;
  for (std::uint64_t i = 0; i < kSchedulesPerPart; ++i) {
    const Schedule schedule = RandomSchedule(first + i, kEnginesCheckEpoch);
    const Outcome outcome = CellWorld(schedule).Run();
    served += outcome.served;
    evictions += outcome.evictions;
    takeovers += outcome.takeovers;
    if (outcome.violations.empty()) continue;
    FAIL(Describe(Shrink(schedule)));
  }
  // The schedules reach what they are to check.
  CHECK(served > 10 * kSchedulesPerPart);
  CHECK(evictions > 2 * kSchedulesPerPart);
  CHECK(takeovers > kSchedulesPerPart);
}

TEMPLATE_TEST_CASE_SIG("No late order ends a request in use", "[schedule]",
                       ((std::uint64_t kPart), kPart), 0, 1, 2, 3, 4, 5, 6, 7) {
  std::uint64_t late = 0;
  std::uint64_t served = 0;
  const std::uint64_t first = kPart * kSchedulesPerPart + 1;
  for (std::uint64_t i = 0; i < kSchedulesPerPart; ++i) {
    Schedule schedule = RandomSchedule(first + i, false);
    schedule.write_pauses = true;
    const Outcome outcome = CellWorld(schedule).Run();
    late += outcome.late_evictions;
    served += outcome.served;
    if (outcome.violations.empty()) continue;
    FAIL(Describe(Shrink(schedule)));
  }
  CHECK(late > kSchedulesPerPart / 50);
  CHECK(served > 5 * kSchedulesPerPart);
}

TEST_CASE("Each planted mistake is found", "[schedule]") {
  struct Row {
    Mistake mistake;
    bool engines_check_epoch;
    /// A fault that brings the mistake about sooner, on each of the gateways.
    FaultKind fault;
    std::string violation;
    bool write_pauses = false;
  };
  const std::string old_order = "an order of an old epoch was carried out";
  const std::string evicted = "evicted";
  const Row row = GENERATE_COPY(
      Row{Mistake::kNoFencing, true, FaultKind::kFreeze, old_order},
      Row{Mistake::kNoWaiting, false, FaultKind::kIsland, old_order},
      Row{Mistake::kEvictOnReportAlone, true, FaultKind::kFreeze, evicted},
      Row{Mistake::kNoLoadCap, true, FaultKind::kFreeze, "were in flight"},
      Row{Mistake::kNoLoadCap, false, FaultKind::kFreeze, "rate was exceeded"},
      Row{Mistake::kDeadlineFromReceipt, true, FaultKind::kFreeze, evicted},
      Row{Mistake::kPromiseIgnored, true, FaultKind::kIsland, "two leaders"},
      Row{Mistake::kNoConfirmation, false, FaultKind::kFreeze, evicted},
      Row{Mistake::kNoFullSync, true, FaultKind::kIsland, evicted},
      Row{Mistake::kNotHonoured, false, FaultKind::kFreeze, evicted, true},
      Row{Mistake::kUnannounced, false, FaultKind::kFreeze, evicted, true});
  bool found = false;
  std::uint64_t seed = 0;
  while (!found && ++seed <= kMostForMistake) {
    Schedule schedule = RandomSchedule(seed, row.engines_check_epoch);
    schedule.mistake = row.mistake;
    schedule.write_pauses = row.write_pauses;
    for (std::size_t i = 0; i < kGateways; ++i) {
      constexpr DurationMs kSpacing{900};
      const TimeMs at = TimeMs(1'700) + kSpacing * static_cast<std::int64_t>(i);
      schedule.faults.push_back(
          Fault{at, row.fault, kFirstGateway + i, 0, DurationMs(1'500)});
    }
    const Violations violations = Check(schedule);
    found =
        std::any_of(violations.begin(), violations.end(),
                    [&](const std::string& violation) {
                      return violation.find(row.violation) != std::string::npos;
                    });
  }
  INFO("mistake " << static_cast<int>(row.mistake) << ": " << row.violation);
  CHECK(found);
}

}  // namespace yuccamoor::world
