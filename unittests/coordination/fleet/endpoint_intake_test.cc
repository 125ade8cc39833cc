/// \file
/// \brief Tests of what a node knows of the requests that an endpoint takes.

#include "yuccamoor/coordination/fleet/endpoint_intake.h"

#include <catch2/catch.hpp>

namespace yuccamoor::fleet {
namespace {

IntakeStatement Limited(double per_second) {
  IntakeStatement stated;
  stated.limited = true;
  stated.requests_per_second = per_second;
  return stated;
}

}  // namespace

TEST_CASE("A limit holds until a later request's response names none",
          "[fleet][intake]") {
  EndpointIntake intake;
  CHECK(intake.OnStatement(Limited(2), TimeMs(100), TimeMs(200)) ==
        LimitChange::kNamed);
  REQUIRE(intake.limit());
  CHECK(intake.limit()->per_second == 2);
  CHECK(intake.OnStatement({}, TimeMs(150), TimeMs(300)) == LimitChange::kNone);
  CHECK(intake.limit());
  CHECK(intake.OnStatement(Limited(3), TimeMs(250), TimeMs(350)) ==
        LimitChange::kChanged);
  CHECK(intake.OnStatement({}, TimeMs(360), TimeMs(400)) ==
        LimitChange::kEnded);
  CHECK_FALSE(intake.limit());
}

TEST_CASE("A limit that cannot be read changes nothing", "[fleet][intake]") {
  IntakeStatement unreadable;
  unreadable.limited = true;
  EndpointIntake intake;
  CHECK(intake.OnStatement(unreadable, TimeMs(1), TimeMs(2)) ==
        LimitChange::kNone);
  CHECK_FALSE(intake.limit());
  intake.OnStatement(Limited(2), TimeMs(3), TimeMs(4));
  CHECK(intake.OnStatement(unreadable, TimeMs(5), TimeMs(6)) ==
        LimitChange::kNone);
  CHECK(intake.limit());
}

TEST_CASE("What another node tells does not replace what the endpoint said",
          "[fleet][intake]") {
  EndpointIntake intake;
  CHECK(intake.OnToldLimit(5, TimeMs(1)) == LimitChange::kNamed);
  intake.OnStatement(Limited(2), TimeMs(2), TimeMs(3));
  CHECK(intake.OnToldLimit(5, TimeMs(4)) == LimitChange::kNone);
  CHECK(intake.limit()->per_second == 2);
  CHECK(intake.OnToldLimit(std::nullopt, TimeMs(5)) == LimitChange::kEnded);
  CHECK_FALSE(intake.limit());
}

TEST_CASE("An endpoint opens when its pause and the wait for a permit are over",
          "[fleet][intake]") {
  EndpointIntake intake;
  IntakeStatement pause;
  pause.retry_after = DurationMs(500);
  intake.OnStatement(pause, TimeMs(0), TimeMs(100));
  CHECK(intake.opens_at() == TimeMs(600));
  pause.retry_after = DurationMs(100);
  intake.OnStatement(pause, TimeMs(0), TimeMs(200));
  CHECK(intake.opens_at() == TimeMs(600));
  intake.OnStatement(Limited(1), TimeMs(250), TimeMs(300));
  intake.OnNoPermit(TimeMs(900));
  CHECK(intake.opens_at() == TimeMs(900));
  CHECK(intake.paused_until() == TimeMs(600));
  intake.OnStatement({}, TimeMs(400), TimeMs(500));
  CHECK(intake.opens_at() == TimeMs(600));
}

}  // namespace yuccamoor::fleet
