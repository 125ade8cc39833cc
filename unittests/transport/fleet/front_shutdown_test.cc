/// \file
/// \brief Tests of what clients see while a node shuts down.

#include <catch2/catch.hpp>
#include <string>

#include "transport/fleet/endless_endpoint.h"
#include "transport/fleet/front_texts.h"
#include "transport/fleet/front_world.h"

namespace yuccamoor::fleet {
namespace {

// Returns a request whose client waits for that long.
std::string RequestWaiting(DurationMs time,
                           const std::string& path = "/unsafe/x") {
  std::string text = RequestText(path);
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

// A node ended as soon as it had read the endpoints' answers, of which slow
// clients had taken a part only.
TEST_CASE("A node is not quiet while a client still reads its answer",
          "[fleet][front][shutdown]") {
  // More than the buffers of both sockets hold.
  constexpr std::size_t kBodyBytes = 3'932'160;
  EndlessAnswer answer;
  answer.beginning = AnswerText(200, "");
  const std::string empty = "Content-Length: 0";
  answer.beginning.replace(answer.beginning.find(empty), empty.size(),
                           "Content-Length: " + std::to_string(kBodyBytes));
  answer.repeated = "x";
  answer.silent_after = answer.beginning.size() + kBodyBytes;
  FrontWorld world({kOk}, {kOk});
  EndlessEndpoint endpoint(world.io(), answer);
  world.AddTroubled(endpoint.port());
  Socket client(world.io());
  client.Connect({"127.0.0.1", world.front_port()}, [&](bool) {
    client.Write(RequestWaiting(DurationMs(600'000), "/troubled/x"));
  });
  while (endpoint.settled() == 0 || world.requests_under_way() > 0) {
    world.Run(DurationMs(5));
  }
  CHECK_FALSE(world.IsQuiet());
  std::string got;
  while (!got.ends_with('x') || !world.IsQuiet()) {
    world.Run(DurationMs(5));
    client.Read(got, kBodyBytes);
  }
  while (client.Read(got, kBodyBytes).bytes > 0) {
  }
  CHECK(got.size() == got.find("\r\n\r\n") + 4 + kBodyBytes);
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
