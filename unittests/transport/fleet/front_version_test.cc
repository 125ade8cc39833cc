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

}  // namespace yuccamoor::fleet
