/// \file
/// \brief Tests of endpoints that take few requests, or none for a while.

#include <catch2/catch.hpp>
#include <cstddef>
#include <string>

#include "transport/fleet/front_texts.h"
#include "transport/fleet/front_world.h"
#include "yuccamoor/state/fleet/boot_clock.h"

namespace yuccamoor::fleet {

// An endpoint got far more requests than the limit that it had named.
TEST_CASE("An endpoint that names a limit gets no more requests than that",
          "[fleet][front][intake]") {
  const std::string limit = "Server-Limit: 2.0\r\n";
  FrontWorld world({Send(AnswerText(200, "body", limit))}, {kOk});
  const TimeMs begin = BootClock().Now();
  for (int i = 0; i < 40; ++i) {
    const std::string got = world.Exchange(RequestText("/safe/x"), "body");
    CHECK(Contains(got, "HTTP/1.1 200 "));
  }
  const DurationMs time = BootClock().Now() - begin;
  const auto allowed = static_cast<std::size_t>(2 + time.ms() * 2 / 1'000);
  CHECK(world.first().requests().size() <= allowed);
  CHECK(world.requests_run() == 40);
}

TEST_CASE("A limit is over once an answer does not name it",
          "[fleet][front][intake]") {
  const std::string limit = "Server-Limit: 20\r\n";
  FrontWorld world({Send(AnswerText(200, "body", limit)), kOk}, {kOk});
  for (int i = 0; i < 60; ++i) {
    world.Exchange(RequestText("/safe/x"), "body");
  }
  CHECK(world.first().requests().size() >= 40);
}

TEST_CASE("A request that all endpoints' limits exclude is refused at once",
          "[fleet][front][intake]") {
  const ScriptedAnswer limited =
      Send(AnswerText(200, "body", "Server-Limit: 0.5\r\n"));
  FrontWorld world({limited}, {limited});
  const std::string one = RequestText("/unsafe/x");
  CHECK(Contains(world.Exchange(one, "body"), "HTTP/1.1 200 "));
  CHECK(Contains(world.Exchange(one, "body"), "HTTP/1.1 200 "));
  const TimeMs begin = BootClock().Now();
  const std::string refused = world.Exchange(one, "\r\n\r\n");
  CHECK(Contains(refused, "HTTP/1.1 503 "));
  CHECK(Contains(refused, "Retry-After: "));
  CHECK(BootClock().Now() - begin < DurationMs(400));
  CHECK(world.requests_run() == 2);
}

// An endpoint that had refused a request with a pause got more at once.
TEST_CASE("An endpoint gets nothing during the pause that it asks for",
          "[fleet][front][intake]") {
  const ScriptedAnswer pause =
      Send(AnswerText(503, "", "Not-Run: 1\r\nRetry-After: 0.6\r\n"));
  FrontWorld world({pause, kOk}, {kOk});
  const std::string one = RequestText("/unsafe/x");
  for (int i = 0; i < 5; ++i) {
    CHECK(Contains(world.Exchange(one, "body"), "HTTP/1.1 200 "));
  }
  CHECK(world.first().requests().size() == 1);
  CHECK(world.second().requests().size() == 5);
  world.Run(DurationMs(700));
  CHECK(Contains(world.Exchange(one, "body"), "HTTP/1.1 200 "));
  CHECK(world.first().requests().size() == 2);
}

TEST_CASE("A request that no endpoint wants for long is refused at once",
          "[fleet][front][intake]") {
  const ScriptedAnswer pause =
      Send(AnswerText(503, "", "Not-Run: 1\r\nRetry-After: 30\r\n"));
  FrontWorld world({pause}, {pause});
  const std::string refused =
      world.Exchange(RequestText("/unsafe/x"), "\r\n\r\n", DurationMs(500));
  CHECK(Contains(refused, "HTTP/1.1 503 "));
  CHECK(world.requests_run() == 2);
  CHECK(Contains(
      world.Exchange(RequestText("/unsafe/x"), "\r\n\r\n", DurationMs(500)),
      "Retry-After: "));
  CHECK(world.requests_run() == 2);
}

// An endpoint that had said in an answer that it was leaving got requests
// until its entry in the store said so too.
TEST_CASE("An endpoint that says that it is leaving gets no more requests",
          "[fleet][front][intake]") {
  FrontWorld world({Send(AnswerText(200, "body", "Server-Leaving: 1\r\n"))},
                   {kOk});
  for (int i = 0; i < 5; ++i) {
    const std::string got = world.Exchange(RequestText("/unsafe/x"), "body");
    CHECK(Contains(got, "HTTP/1.1 200 "));
  }
  CHECK(world.first().requests().size() == 1);
  CHECK(world.second().requests().size() == 4);
}

}  // namespace yuccamoor::fleet
