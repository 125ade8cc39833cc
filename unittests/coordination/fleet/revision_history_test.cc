#include "yuccamoor/coordination/fleet/revision_history.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>

namespace yuccamoor::fleet {
namespace {

constexpr DurationMs kTime{2'000};

TEST_CASE("Versions that became known at once end together",
          "[fleet][revisions]") {
  RevisionHistory history;
  CHECK(history.Learn(AdapterRevision(2), TimeMs(1'000)));
  CHECK(history.Learn(AdapterRevision(5), TimeMs(1'000)));
  CHECK_FALSE(history.Learn(AdapterRevision(4), TimeMs(1'500)));
  CHECK(history.newest() == AdapterRevision(5));
  CHECK(history.LeastAt(TimeMs(2'999), kTime) == AdapterRevision());
  CHECK(history.LeastAt(TimeMs(3'000), kTime) == AdapterRevision(5));
}

// Guards against a time that is kept longer because many versions follow.
TEST_CASE("A version ends in time, however many follow it",
          "[fleet][revisions]") {
  RevisionHistory history;
  constexpr std::int64_t kStepMs = 50;
  for (std::int64_t i = 1; i <= 200; ++i) {
    const TimeMs now(i * kStepMs);
    history.Learn(AdapterRevision(static_cast<std::uint64_t>(i)), now);
    // All versions whose successor is as old as the time have ended.
    const std::int64_t superseded = i - kTime.ms() / kStepMs;
    if (superseded < 1) continue;
    CHECK(history.LeastAt(now, kTime) >=
          AdapterRevision(static_cast<std::uint64_t>(superseded)));
    CHECK(history.LeastAt(now, kTime) <= history.newest());
  }
}

TEST_CASE("Each version has its whole time while some others follow it",
          "[fleet][revisions]") {
  RevisionHistory history;
  constexpr std::int64_t kStepMs = 150;
  for (std::int64_t i = 1; i <= 60; ++i) {
    const TimeMs now(i * kStepMs);
    history.Learn(AdapterRevision(static_cast<std::uint64_t>(i)), now);
    const std::int64_t least =
        std::max<std::int64_t>(0, (now.ms() - kTime.ms()) / kStepMs);
    CHECK(history.LeastAt(now, kTime) ==
          AdapterRevision(static_cast<std::uint64_t>(least)));
  }
}

TEST_CASE("Learning, sending and beginning fit into a version's time",
          "[fleet][revisions]") {
  const RevisionTimes small =
      RevisionTimes::For(DurationMs(5'000), DurationMs(2'000));
  CHECK(small.send == DurationMs(2'000));
  CHECK(small.begin == DurationMs(3'750));
  const RevisionTimes large =
      RevisionTimes::For(DurationMs(5'000), DurationMs(4'000));
  CHECK(large.send == DurationMs(1'500));
  CHECK(large.begin == DurationMs(2'750));
  const RevisionTimes short_age =
      RevisionTimes::For(DurationMs(500), DurationMs(4'000));
  CHECK(short_age.send == DurationMs(0));
  CHECK(short_age.begin == DurationMs(0));
}

}  // namespace
}  // namespace yuccamoor::fleet
