/// \file
/// \brief Tests of requests under which endpoints crash.

#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

#include "transport/fleet/front_texts.h"
#include "transport/fleet/front_world.h"

namespace yuccamoor::fleet {
namespace {

constexpr char kCrashing[] = "crash";
constexpr char kEvent[] = "id: 1\ndata: fine\n\n";

/// A world whose endpoints crash under requests with that body.
class CrashWorld {
 public:
  CrashWorld()
      : m_world({{EndpointAct::kSend, AnswerText(200, kEvent)}},
                {{EndpointAct::kSend, AnswerText(200, kEvent)}}) {
    m_world.first().CrashOn(kCrashing);
    m_world.second().CrashOn(kCrashing);
  }

  /// Sends the crashing request as a client's new attempt, and starts the
  /// endpoints again. Returns what the client gets.
  std::string Crash(const std::string& path) {
    std::string answer =
        m_world.Exchange(RequestText(path, kCrashing), "\r\n\r\n");
    m_world.RestartBoth();
    return answer;
  }
  std::string Send(const std::string& path, const std::string& body) {
    return m_world.Exchange(RequestText(path, body), "fine");
  }
  std::uint32_t crashes() {
    return m_world.first().crashes() + m_world.second().crashes();
  }

 private:
  FrontWorld m_world;
};

}  // namespace

// A request under which endpoints crash was sent to all of them each time that
// it came, and its service was away for seconds each time.
TEST_CASE("A request that crashes endpoints is sent to three at most",
          "[fleet][front][quarantine]") {
  CrashWorld world;
  std::string path;
  SECTION("a safe one") { path = "/safe/1"; }
  SECTION("one that may run once only") { path = "/unsafe/1"; }
  SECTION("a stream") { path = "/stream/1"; }
  SECTION("a stream that may be resumed") { path = "/resumable/1"; }
  std::string answer;
  for (int i = 0; i < 8; ++i) answer = world.Crash(path);
  CHECK(world.crashes() <= 3);
  CHECK(answer.starts_with("HTTP/1.1 503"));
  // Other bodies and paths are served meanwhile.
  CHECK(world.Send(path, "sound").starts_with("HTTP/1.1 200"));
  CHECK(world.Send("/safe/2", "other").starts_with("HTTP/1.1 200"));
}

// Elsewhere, clients got an empty answer framed as whole when an endpoint had
// ended within its head.
TEST_CASE("An answer whose head is cut off anywhere is no answer",
          "[fleet][front]") {
  const std::string framing =
      GENERATE("Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n", "");
  const auto act =
      GENERATE(EndpointAct::kSendAndClose, EndpointAct::kSendAndReset);
  const std::string path = GENERATE("/unsafe/x", "/stream/x");
  const std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\n" + framing +
                           "Response-Stamp: s1\r\n\r\n";
  for (std::size_t length = 0; length < head.size(); ++length) {
    const ScriptedAnswer cut{act, head.substr(0, length)};
    FrontWorld world({cut}, {cut});
    const std::string got = world.Exchange(RequestText(path), "\r\n\r\n");
    CAPTURE(length, framing, path);
    CHECK(got.starts_with("HTTP/1.1 502 "));
    CHECK(got.find("Content-Length: 0\r\n") != std::string::npos);
    CHECK(got.find("Response-Stamp") == std::string::npos);
  }
}

// Requests with one part in their prompts crashed one engine after the other.
TEST_CASE("Prompts with a part that crashes engines reach no further engine",
          "[fleet][front][quarantine]") {
  const ScriptedAnswer crash = SendAndReset("");
  const ScriptedAnswer answer =
      Send(kStreamHead + Chunk(Event(1)) + "0\r\n\r\n");
  FrontWorld world({crash, answer, crash, answer, crash, answer}, {kOk});
  world.UseEngines();
  world.FillSecond();
  const auto prompt = [](const std::string& parts) {
    std::string request = RequestText("/stream/x");
    return request.insert(request.find("\r\n") + 2,
                          "Model: m\r\nToken-Count: 100,10\r\n"
                          "Prompt-Prefix: " +
                              parts + "\r\n");
  };
  for (const std::string own : {"1", "2", "3"}) {
    const std::string lost =
        world.Exchange(prompt("aa:10,dead:5," + own + ":3"), "\r\n\r\n");
    CHECK(Contains(lost, "HTTP/1.1 502 "));
    world.RestartFirst();
    world.Run(DurationMs(400));
    const std::string sound =
        world.Exchange(prompt("aa:10,bb:5," + own + ":3"), "0\r\n\r\n");
    CHECK(Contains(sound, Event(1)));
  }
  const std::string refused =
      world.Exchange(prompt("aa:10,dead:5,4:3"), "\r\n\r\n");
  CHECK(Contains(refused, "HTTP/1.1 503 "));
  CHECK(Contains(refused, "Retry-After: "));
  CHECK(world.requests_run() == 6);
  const std::string sound =
      world.Exchange(prompt("aa:10,bb:5,5:3"), "0\r\n\r\n");
  CHECK(Contains(sound, Event(1)));
}

}  // namespace yuccamoor::fleet
