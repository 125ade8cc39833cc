/// \file
/// \brief Tests of responses with statuses that HTTP does not have, or that
/// come before the answer.

#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

#include "transport/fleet/endless_endpoint.h"
#include "transport/fleet/front_texts.h"
#include "transport/fleet/front_world.h"
#include "yuccamoor/state/fleet/boot_clock.h"
#include "yuccamoor/transport/fleet/http_caller.h"

namespace yuccamoor::fleet {
namespace {

/// A whole response, well framed, under a status of three digits.
std::string Response(const std::string& status, const std::string& body) {
  return "HTTP/1.1 " + status + " Odd\r\nAttempt-Id: 9c41\r\n" +
         "Response-Stamp: s1\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string NoStatus() {
  return GENERATE("000", "001", "099", "101", "600", "999");
}

/// Makes one call. Returns how it ended.
HttpCallEnd CallOnce(boost::asio::io_context& io, HttpCaller& caller,
                     std::uint16_t port) {
  std::optional<HttpCallEnd> end;
  HttpCall call;
  call.address = {"127.0.0.1", port};
  call.timeout = DurationMs(2'000);
  caller.Start(std::move(call),
               [&end](const HttpCallEnd& ended) { end = ended; });
  while (!end) {
    io.restart();
    io.run_for(std::chrono::milliseconds(5));
  }
  return *end;
}

}  // namespace

// A status from 600 up reached the client, and one under 100 was taken for an
// interim response, so that the request waited for an answer until its
// deadline.
TEST_CASE("A response under a status that is none is no answer",
          "[fleet][front][status]") {
  const std::string status = NoStatus();
  CAPTURE(status);
  const ScriptedAnswer odd = Send(Response(status, "odd"));
  SECTION("what may be repeated is sent to another endpoint") {
    FrontWorld world({odd}, {kOk});
    world.FillSecond();
    const std::string got = world.Exchange(RequestText("/safe/x"), "body");
    CHECK(Contains(got, "HTTP/1.1 200 "));
    CHECK(world.first().requests().size() == 1);
  }
  SECTION("what may have run fails at once") {
    FrontWorld world({odd}, {odd});
    const std::string got =
        world.Exchange(RequestText("/unsafe/x"), "\r\n\r\n");
    CHECK(Contains(got, "HTTP/1.1 502 "));
    CHECK_FALSE(Contains(got, "Response-Stamp"));
    CHECK(world.requests_run() == 1);
  }
  SECTION("a stream that may be resumed goes on elsewhere") {
    FrontWorld world({odd},
                     {Send(kStreamHead + Chunk(Event(1)) + "0\r\n\r\n")});
    world.FillSecond();
    const std::string got =
        world.Exchange(RequestText("/resumable/x"), "0\r\n\r\n");
    CHECK(Contains(got, Event(1)));
  }
}

// Failure: each next request meets an endpoint that answers so.
TEST_CASE("An endpoint that gives statuses that are none gets few requests",
          "[fleet][front][status]") {
  constexpr std::size_t kRequests = 60;
  FrontWorld world({Send(Response("000", "odd"))}, {kOk});
  std::size_t served = 0;
  for (std::size_t i = 0; i < kRequests; ++i) {
    const std::string got = world.Exchange(RequestText("/safe/x"), "body");
    if (Contains(got, "HTTP/1.1 200 ")) ++served;
  }
  CHECK(served == kRequests);
  CHECK(world.first().requests().size() < kRequests / 3);
}

TEST_CASE("Responses that come before the answer are passed over",
          "[fleet][front][status]") {
  const std::string interim =
      GENERATE("HTTP/1.1 100 Continue\r\n\r\n",
               "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
  FrontWorld world({Send(interim + Response("200", "body"))}, {kOk});
  const std::string got = world.Exchange(RequestText("/unsafe/x"), "body");
  CHECK(Contains(got, "HTTP/1.1 200 "));
  CHECK_FALSE(Contains(got, "103"));
}

// The answer that followed was taken for the next call's.
TEST_CASE("A call's interim response is not its answer", "[fleet][status]") {
  boost::asio::io_context io;
  const BootClock clock;
  KeptBytes kept(io, clock);
  HttpCaller caller(io, clock, kept);
  EndlessAnswer answer;
  SECTION("one before the answer") {
    answer.beginning =
        "HTTP/1.1 100 Continue\r\n\r\n" + Response("200", "answer");
    answer.silent_after = answer.beginning.size();
    EndlessEndpoint endpoint(io, answer);
    const HttpCallEnd end = CallOnce(io, caller, endpoint.port());
    CHECK(end.status == 200);
    CHECK(end.body == "answer");
  }
  SECTION("without end") {
    answer.repeated = "HTTP/1.1 100 Continue\r\n\r\n";
    EndlessEndpoint endpoint(io, answer);
    CHECK(CallOnce(io, caller, endpoint.port()).status == 0);
  }
}

TEST_CASE("A call's answer under a status that is none is no answer",
          "[fleet][status]") {
  boost::asio::io_context io;
  const BootClock clock;
  KeptBytes kept(io, clock);
  HttpCaller caller(io, clock, kept);
  EndlessAnswer answer;
  answer.beginning = Response(NoStatus(), "odd");
  answer.silent_after = answer.beginning.size();
  EndlessEndpoint endpoint(io, answer);
  const HttpCallEnd end = CallOnce(io, caller, endpoint.port());
  CHECK(end.status == 0);
  CHECK(end.sent);
}

}  // namespace yuccamoor::fleet
