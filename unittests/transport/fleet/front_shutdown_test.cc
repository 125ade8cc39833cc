/// \file
/// \brief Tests of what clients see while a node shuts down.

#include <catch2/catch.hpp>
#include <string>

#include "transport/fleet/front_texts.h"
#include "transport/fleet/front_world.h"

namespace yuccamoor::fleet {
namespace {

// Returns a request whose client waits for that long.
std::string RequestWaiting(DurationMs time) {
  std::string text = RequestText("/unsafe/x");
  const std::string deadline = "Deadline-Ms: 1500";
  return text.replace(text.find(deadline), deadline.size(),
                      "Deadline-Ms: " + std::to_string(time.ms()));
}

}  // namespace

// Elsewhere, requests that came late in the grace of a planned stop were passed
// on and cut at its end, also such as may not be repeated.
TEST_CASE("A leaving node refuses what may last longer than itself",
          "[fleet][front][shutdown]") {
  FrontWorld world({kOk}, {kOk});
  world.BeginShutdown(DurationMs(1'000));
  const std::string refused =
      world.Exchange(RequestWaiting(DurationMs(1'400)), "\r\n\r\n");
  CHECK(refused.starts_with("HTTP/1.1 503 "));
  CHECK(refused.find("Retry-After: ") != std::string::npos);
  CHECK(refused.find("Connection: close\r\n") != std::string::npos);
  CHECK(world.requests_run() == 0);
  const std::string taken =
      world.Exchange(RequestWaiting(DurationMs(500)), "body");
  CHECK(taken.starts_with("HTTP/1.1 200 "));
}

TEST_CASE("Requests under way when a node ends get their final answer",
          "[fleet][front][shutdown]") {
  const ScriptedAnswer silence = Send("");
  FrontWorld world({silence}, {silence});
  world.BeginShutdown(DurationMs(10'000));
  world.EndRequestsAfter(DurationMs(100));
  SECTION("as failed if it may have run") {
    const std::string got = world.Exchange(RequestText("/unsafe/x"), "");
    CHECK(got.starts_with("HTTP/1.1 502 "));
    CHECK(got.ends_with("Content-Length: 0\r\n\r\n<end>"));
  }
  SECTION("as not run if it waits for an endpoint") {
    world.PauseBoth(DurationMs(250));
    const std::string got = world.Exchange(RequestText("/unsafe/x"), "");
    CHECK(got.starts_with("HTTP/1.1 503 "));
    CHECK(got.ends_with("Content-Length: 0\r\n\r\n<end>"));
    CHECK(world.requests_run() == 0);
  }
}

TEST_CASE("A leaving node takes short requests on, and refuses streams",
          "[fleet][front]") {
  FrontWorld world({kOk}, {kOk});
  world.BeginShutdown();
  const std::string plain = world.Exchange(RequestText("/unsafe/x"), "body");
  CHECK(Contains(plain, "HTTP/1.1 200 "));
  CHECK(Contains(plain, "Connection: close\r\n"));
  const std::string stream =
      world.Exchange(RequestText("/stream/x"), "\r\n\r\n");
  CHECK(Contains(stream, "HTTP/1.1 503 "));
  CHECK(Contains(stream, "Retry-After: "));
  CHECK(world.requests_run() == 1);
}

}  // namespace yuccamoor::fleet
