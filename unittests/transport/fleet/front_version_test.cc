/// \file
/// \brief Tests of requests whose adapter gets a new version on their way.

#include <catch2/catch.hpp>
#include <string>

#include "transport/fleet/front_texts.h"
#include "transport/fleet/front_world.h"

namespace yuccamoor::fleet {
namespace {

// Longer than any version serves after its successor.
constexpr DurationMs kLongAgo{60'000};

std::string PromptText(const std::string& path) {
  std::string request = RequestText(path);
  request.insert(request.find("\r\n") + 2,
                 "Model: m/a1\r\nToken-Count: 100,10\r\n");
  return request;
}

std::string Stream(const std::string& fields = "") {
  return "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\nResponse-Stamp: s1\r\n" +
         fields + "Transfer-Encoding: chunked\r\n\r\n" + Chunk(Event(1)) +
         "0\r\n\r\n";
}

}  // namespace

// Engines refused requests that named the newest version known to the node, as
// they held a newer one.
TEST_CASE("A request names the version that its engine holds",
          "[fleet][front][versions]") {
  FrontWorld world({Send(Stream())}, {Send(Stream())});
  world.UseEngines();
  world.HoldVersions(AdapterRevision(3), AdapterRevision(0));
  world.PublishVersion(AdapterRevision(2), kLongAgo);
  CHECK(
      Contains(world.Exchange(PromptText("/stream/x"), "0\r\n\r\n"), Event(1)));
  REQUIRE(world.first().requests().size() == 1);
  CHECK(Contains(world.first().requests()[0], "Expect-Version: 3\r\n"));
}

// Requests that an engine had not begun for long began on a version whose time
// was over.
TEST_CASE(
    "A request that has not begun is taken back from a superseded version",
    "[fleet][front][versions]") {
  const ScriptedAnswer silence = Send("");
  FrontWorld world({silence}, {Send(Stream())});
  world.UseEngines();
  world.HoldVersions(AdapterRevision(1), AdapterRevision(0));
  world.After(DurationMs(60), [&world] {
    world.PublishVersion(AdapterRevision(2), kLongAgo);
    world.HoldVersions(AdapterRevision(1), AdapterRevision(2));
  });
  SECTION("and goes on elsewhere if it may be repeated") {
    const std::string got =
        world.Exchange(PromptText("/resumable/x"), "0\r\n\r\n");
    CHECK(Contains(got, Event(1)));
    REQUIRE(world.second().requests().size() == 1);
    CHECK(Contains(world.second().requests()[0], "Expect-Version: 2\r\n"));
  }
  SECTION("and fails, its outcome unknown, if it may not") {
    const std::string got = world.Exchange(PromptText("/stream/x"), "\r\n\r\n");
    CHECK(Contains(got, "HTTP/1.1 502 "));
    CHECK(world.second().requests().empty());
  }
  world.Run(DurationMs(20));
  CHECK(world.first().requests().size() == 1);
  CHECK(world.first().abandoned() == 1);
}

// Two runs would have been joined, or work cut that had begun in time.
TEST_CASE("A request that has begun is left to a superseded version",
          "[fleet][front][versions]") {
  const std::string head =
      "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\nResponse-Stamp: s1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  std::string path = "/resumable/x";
  ScriptedAnswer begun = Send("");
  SECTION("with a part of its first event") {
    begun = Send(head + Chunk("id: 1\nda"));
  }
  SECTION("with a failure") {
    begun =
        Send("HTTP/1.1 500 X\r\nAttempt-Id: 9c41\r\nContent-Length: 4\r\n\r\n");
  }
  SECTION("as far as one can tell without a stream") { path = "/unsafe/x"; }
  FrontWorld world({begun}, {Send(Stream())});
  world.UseEngines();
  world.HoldVersions(AdapterRevision(1), AdapterRevision(0));
  world.After(DurationMs(60), [&world] {
    world.PublishVersion(AdapterRevision(2), kLongAgo);
    world.HoldVersions(AdapterRevision(1), AdapterRevision(2));
  });
  world.Exchange(PromptText(path), "", DurationMs(300));
  CHECK(world.first().requests().size() == 1);
  CHECK(world.first().abandoned() == 0);
  CHECK(world.second().requests().empty());
}

}  // namespace yuccamoor::fleet
