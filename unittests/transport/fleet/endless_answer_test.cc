/// \file
/// \brief Tests of endpoints that send bytes without end.

#include <catch2/catch.hpp>
#include <string>

#include "transport/fleet/endless_endpoint.h"
#include "transport/fleet/front_texts.h"
#include "transport/fleet/front_world.h"

namespace yuccamoor::fleet {
namespace {

// Longer than any wait of these tests, so that deadlines end no request.
constexpr DurationMs kLong{30'000};

std::string LongRequest(const std::string& path) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 9c41\r\n"
         "Deadline-Ms: 600000\r\nContent-Length: 2\r\n\r\n{}";
}

bool IsServed(FrontWorld& world) {
  const std::string seen =
      world.Exchange(LongRequest("/sound/x"), "body", kLong);
  return seen.starts_with("HTTP/1.1 200") && seen.ends_with("body");
}

}  // namespace

// Failure: heads of other messages without end were passed over without a
// bound, and held up the whole node until the request's deadline.
TEST_CASE("Heads without end end the request that waits for its own",
          "[fleet][endless]") {
  FrontWorld world({kOk}, {kOk});
  EndlessAnswer answer;
  SECTION("informational ones") {
    answer.repeated = "HTTP/1.1 100 Continue\r\n\r\n";
  }
  SECTION("those of other requests' responses") {
    answer.repeated =
        "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 1\r\n\r\nx";
  }
  SECTION("bodies of other requests' responses") {
    answer.beginning =
        "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n"
        "Content-Length: 16000000\r\n\r\n";
    answer.repeated = "x";
  }
  SECTION("a part of one, and then silence") {
    answer.beginning = "HTTP/1.1 200 OK\r\nA: b";
    answer.silent_after = 1;
  }
  EndlessEndpoint troubled(world.io(), answer);
  world.AddTroubled(troubled.port());
  const std::string seen =
      world.Exchange(LongRequest("/troubled/x"), "\r\n\r\n", kLong);
  CHECK(seen.starts_with("HTTP/1.1 502"));
  CHECK(troubled.requests() == 1);
  CHECK(IsServed(world));
}

TEST_CASE("Informational heads before an answer are passed over",
          "[fleet][endless]") {
  std::string text;
  for (int i = 0; i < 100; ++i) text += "HTTP/1.1 102 Processing\r\n\r\n";
  text += AnswerText(200, "body");
  FrontWorld world({Send(text)}, {Send(text)});
  const std::string seen = world.Exchange(RequestText("/unsafe/x"), "body");
  CHECK(seen.starts_with("HTTP/1.1 200"));
  CHECK(world.requests_run() == 1);
}

}  // namespace yuccamoor::fleet
