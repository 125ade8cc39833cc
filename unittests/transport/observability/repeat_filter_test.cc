/// \file
/// \brief Tests of reports that repeat.

#include "yuccamoor/transport/observability/repeat_filter.h"

#include <catch2/catch.hpp>
#include <string>

namespace yuccamoor {

// One unreadable entry filled the log with four lines a second.
TEST_CASE("A subject is reported once a period", "[observability]") {
  RepeatFilter filter(DurationMs(1'000));
  const TimeMs start(5);
  CHECK(filter.IsDue("a", start));
  CHECK_FALSE(filter.IsDue("a", start + DurationMs(999)));
  CHECK(filter.IsDue("b", start + DurationMs(999)));
  CHECK(filter.IsDue("a", start + DurationMs(1'000)));
  CHECK_FALSE(filter.IsDue("a", start + DurationMs(1'001)));
}

TEST_CASE("New subjects are reported, however many there are",
          "[observability]") {
  constexpr int kSubjects = 3'000;
  RepeatFilter filter(DurationMs(1'000));
  for (int i = 0; i < kSubjects; ++i) {
    CHECK(filter.IsDue(std::to_string(i), TimeMs(i)));
  }
}

}  // namespace yuccamoor
