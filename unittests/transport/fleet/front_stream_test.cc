/// \file
/// \brief Tests of what clients and endpoints see of a stream.

#include <catch2/catch.hpp>
#include <string>

#include "transport/fleet/front_texts.h"
#include "transport/fleet/front_world.h"

namespace yuccamoor::fleet {

TEST_CASE("A stream is passed on event by event to its end", "[fleet][front]") {
  FrontWorld world({Send(kStreamHead + Chunk(Event(1) + Event(2)) +
                         Chunk(Event(3)) + "0\r\n\r\n")},
                   {kOk});
  const std::string got = world.Exchange(RequestText("/stream/x"), "0\r\n\r\n");
  CHECK(Contains(got, Event(1)));
  CHECK(Contains(got, Event(3)));
  CHECK(got.ends_with("0\r\n\r\n"));
}

TEST_CASE("A stream that breaks off does not look complete", "[fleet][front]") {
  const ScriptedAnswer broken =
      SendAndReset(kStreamHead + Chunk(Event(1)) + Chunk("id: 2\nda"));
  FrontWorld world({broken}, {broken});
  const std::string got = world.Exchange(RequestText("/stream/x"), "0\r\n\r\n");
  CHECK_FALSE(Contains(got, "0\r\n\r\n"));
  CHECK_FALSE(Contains(got, "id: 2"));
  CHECK(world.requests_run() == 1);
}

TEST_CASE("A resumable stream goes on elsewhere after an event without end",
          "[fleet][front][endless]") {
  constexpr std::size_t kEndless = 200'000;
  FrontWorld world(
      {Send(kStreamHead + Chunk(Event(1)) + Chunk(std::string(kEndless, 'y')))},
      {Send(kStreamHead + Chunk(Event(2)) + "0\r\n\r\n")});
  const std::string got =
      world.Exchange(RequestText("/resumable/x"), "0\r\n\r\n");
  CHECK(Contains(got, Event(1)));
  CHECK(Contains(got, Event(2)));
  CHECK_FALSE(Contains(got, "yyyy"));
  CHECK(got.ends_with("0\r\n\r\n"));
}

TEST_CASE("A resumable stream goes on at another endpoint without a gap",
          "[fleet][front]") {
  FrontWorld world(
      {SendAndClose(kStreamHead + Chunk(Event(1)) + Chunk("id: 2\nda"))},
      {Send(kStreamHead + Chunk(Event(2) + Event(3)) + "0\r\n\r\n")});
  const std::string got =
      world.Exchange(RequestText("/resumable/x"), "0\r\n\r\n");
  CHECK(Contains(got, Event(1)));
  CHECK(Contains(got, Event(2)));
  CHECK(got.ends_with("0\r\n\r\n"));
  REQUIRE(world.second().requests().size() == 1);
  CHECK(Contains(world.second().requests()[0], "Last-Event-Id: 1\r\n"));
}

TEST_CASE("A prompt that an engine may have run is not refused as not run",
          "[fleet][front]") {
  // The first engine breaks off before any event, the second one stays full.
  FrontWorld world({SendAndReset("HTTP/1.1 200 OK\r\n")}, {kOk});
  world.UseEngines();
  world.FillSecond();
  std::string request = RequestText("/resumable/x");
  request.insert(request.find("\r\n") + 2,
                 "Model: m\r\nToken-Count: 100,10\r\n");
  const std::string got = world.Exchange(request, "\r\n\r\n");
  CHECK(world.first().requests().size() == 1);
  CHECK(world.second().requests().empty());
  CHECK(Contains(got, "HTTP/1.1 502"));
}

TEST_CASE("A stream without length or chunks is whole at an event's end only",
          "[fleet][front]") {
  const std::string head =
      "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\nResponse-Stamp: s1\r\n"
      "Content-Type: text/event-stream\r\n\r\n";
  SECTION("after an event") {
    FrontWorld world({SendAndClose(head + Event(1) + Event(2))}, {kOk});
    const std::string got =
        world.Exchange(RequestText("/stream/x"), "0\r\n\r\n");
    CHECK(Contains(got, Event(2)));
    CHECK(got.ends_with("0\r\n\r\n"));
  }
  SECTION("within an event") {
    const ScriptedAnswer broken = SendAndClose(head + Event(1) + "id: 2\nda");
    FrontWorld world({broken}, {broken});
    const std::string got =
        world.Exchange(RequestText("/stream/x"), "0\r\n\r\n");
    CHECK(Contains(got, Event(1)));
    CHECK_FALSE(Contains(got, "id: 2"));
    CHECK_FALSE(Contains(got, "0\r\n\r\n"));
    CHECK(world.requests_run() == 1);
  }
}

// Clients found the text of a failure in the middle of their streams.
TEST_CASE(
    "A failure of the endpoint that goes on with a stream is not part of it",
    "[fleet][front][resume]") {
  const ScriptedAnswer broken = SendAndReset(kStreamHead + Chunk(Event(1)));
  const std::string boom = "id: 2\ndata: boom\n\nid: 3\ndata: boom\n\n";
  ScriptedAnswer failure = Send(AnswerText(500, boom));
  SECTION("whole") {}
  SECTION("broken off") {
    failure = SendAndReset(AnswerText(500, boom + "more"));
    failure.text.resize(failure.text.size() - 2);
  }
  SECTION("in chunks") {
    failure = SendAndReset(
        "HTTP/1.1 500 X\r\nAttempt-Id: 9c41\r\nResponse-Stamp: s1\r\n"
        "Transfer-Encoding: chunked\r\n\r\n" +
        Chunk(boom));
  }
  SECTION("not run") {
    failure = Send(AnswerText(503, boom, "Not-Run: 1\r\n"));
  }
  SECTION("no answer at all") { failure = SendAndClose(boom); }
  FrontWorld world({broken, failure}, {failure});
  const std::string got =
      world.Exchange(RequestText("/resumable/x"), "0\r\n\r\n");
  CHECK(Contains(got, Event(1)));
  CHECK_FALSE(Contains(got, "boom"));
  CHECK_FALSE(Contains(got, "500"));
  CHECK_FALSE(Contains(got, "0\r\n\r\n"));
  CHECK(world.requests_run() >= 2);
}

}  // namespace yuccamoor::fleet
