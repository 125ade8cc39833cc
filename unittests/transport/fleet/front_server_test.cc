/// \file
/// \brief Tests of what clients and endpoints see of a request.

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "transport/fleet/front_texts.h"
#include "transport/fleet/front_world.h"

namespace yuccamoor::fleet {

TEST_CASE("An answer is passed on whole", "[fleet][front]") {
  FrontWorld world({kOk}, {kOk});
  const std::string got = world.Exchange(RequestText("/unsafe/x"), "body");
  CHECK(Contains(got, "HTTP/1.1 200 "));
  CHECK(Contains(got, "Response-Stamp: s1\r\n"));
  CHECK(Contains(got, "\r\n\r\nbody"));
  REQUIRE(world.first().requests().size() == 1);
  CHECK(Contains(world.first().requests()[0], "Expect-Instance: e1\r\n"));
}

TEST_CASE("A request that may have run is not sent again", "[fleet][front]") {
  FrontWorld world({SendAndReset("")}, {SendAndReset("")});
  const std::string got = world.Exchange(RequestText("/unsafe/x"), "\r\n\r\n");
  CHECK(Contains(got, "HTTP/1.1 502 "));
  CHECK(world.requests_run() == 1);
}

TEST_CASE("A safe request is sent to another endpoint", "[fleet][front]") {
  FrontWorld world({SendAndReset("")}, {kOk});
  const std::string got = world.Exchange(RequestText("/safe/x"), "body");
  CHECK(Contains(got, "HTTP/1.1 200 "));
  CHECK(world.requests_run() == 2);
}

TEST_CASE("A request that an endpoint did not run goes to another one",
          "[fleet][front]") {
  FrontWorld world({Send(AnswerText(503, "", "Not-Run: 1\r\n"))}, {kOk});
  const std::string got = world.Exchange(RequestText("/unsafe/x"), "body");
  CHECK(Contains(got, "HTTP/1.1 200 "));
}

TEST_CASE("A failure of an endpoint keeps its status and signature",
          "[fleet][front]") {
  FrontWorld world({Send(AnswerText(503, "sorry"))},
                   {Send(AnswerText(503, "sorry"))});
  const std::string got = world.Exchange(RequestText("/unsafe/x"), "sorry");
  CHECK(Contains(got, "HTTP/1.1 503 "));
  CHECK(Contains(got, "Response-Stamp: s1\r\n"));
  CHECK(world.requests_run() == 1);
}

TEST_CASE("A safe request that fails everywhere keeps an endpoint's failure",
          "[fleet][front]") {
  FrontWorld world({Send(AnswerText(500, "sorry"))},
                   {Send(AnswerText(500, "sorry"))});
  const std::string got = world.Exchange(RequestText("/safe/x"), "sorry");
  CHECK(Contains(got, "HTTP/1.1 500 "));
  CHECK(Contains(got, "Response-Stamp: s1\r\n"));
  CHECK(world.requests_run() == 2);
}

TEST_CASE("An answer that is cut off is no answer", "[fleet][front]") {
  std::string cut = AnswerText(200, "whole body");
  cut.resize(cut.size() - 4);
  FrontWorld world({SendAndClose(cut)}, {SendAndClose(cut)});
  const std::string got = world.Exchange(RequestText("/unsafe/x"), "\r\n\r\n");
  CHECK(Contains(got, "HTTP/1.1 502 "));
  CHECK_FALSE(Contains(got, "s1"));
}

TEST_CASE("An answer without a length is whole at an orderly end only",
          "[fleet][front]") {
  const std::string text =
      "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\n\r\nunframed";
  SECTION("orderly") {
    FrontWorld world({SendAndClose(text)}, {SendAndClose(text)});
    CHECK(Contains(world.Exchange(RequestText("/unsafe/x"), "unframed"),
                   "Content-Length: 8\r\n"));
  }
  SECTION("reset") {
    FrontWorld world({SendAndReset(text)}, {SendAndReset(text)});
    CHECK_FALSE(Contains(world.Exchange(RequestText("/unsafe/x"), "\r\n\r\n"),
                         "HTTP/1.1 200"));
  }
}

TEST_CASE("Another request's answer is passed over", "[fleet][front]") {
  const std::string foreign =
      "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 5\r\n\r\nwrong";
  FrontWorld world({Send(foreign + AnswerText(200, "right"))}, {kOk});
  const std::string got = world.Exchange(RequestText("/unsafe/x"), "right");
  CHECK(Contains(got, "right"));
  CHECK_FALSE(Contains(got, "wrong"));
}

TEST_CASE("Bytes after an answer end the connection to the endpoint",
          "[fleet][front]") {
  FrontWorld world({Send(AnswerText(200, "body") + "extra")}, {kOk});
  const std::string one = RequestText("/unsafe/x");
  CHECK(Contains(world.Exchange(one, "body"), "HTTP/1.1 200 "));
  const std::string again = world.Exchange(one, "body");
  CHECK(Contains(again, "HTTP/1.1 200 "));
  CHECK_FALSE(Contains(again, "extra"));
}

// A repeated refusal was taken for that of the same request, which the
// endpoint was running: the client was told that it had not run, or it ran at
// a second endpoint.
TEST_CASE("A refusal that is written once more is not taken for a new one",
          "[fleet][front][refusal]") {
  const std::string refusal = AnswerText(503, "", "Not-Run: 1\r\n");
  FrontWorld world({{EndpointAct::kSendAndRepeat, refusal}, kOk},
                   {Send(refusal)});
  const std::string got = world.Exchange(RequestText("/unsafe/x"), "body");
  CHECK(Contains(got, "HTTP/1.1 200 "));
  // Both endpoints refuse; then the first one runs the request.
  CHECK(world.first().requests().size() == 2);
  CHECK(world.second().requests().size() == 1);
}

TEST_CASE("A refusal without the request's id on a kept connection is none",
          "[fleet][front][refusal]") {
  const std::string unnamed =
      "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
  FrontWorld world({kOk, Send(unnamed)}, {kOk});
  const std::string one = RequestText("/unsafe/x");
  CHECK(Contains(world.Exchange(one, "body"), "HTTP/1.1 200 "));
  CHECK(Contains(world.Exchange(one, "\r\n\r\n"), "HTTP/1.1 502 "));
  CHECK(world.requests_run() == 2);
}

TEST_CASE("A client that leaves ends the work at the endpoint",
          "[fleet][front]") {
  FrontWorld world({Send(kStreamHead + Chunk(Event(1)))}, {kOk});
  world.SendAndLeave(RequestText("/stream/x"), DurationMs(200));
  world.Run(DurationMs(200));
  CHECK(world.first().abandoned() == 1);
}

TEST_CASE("A request whose client has left already is not passed on",
          "[fleet][front]") {
  // A node that was suspended or short of processor time reads requests late.
  FrontWorld world({kOk}, {kOk});
  world.SendAndLeaveAtOnce(RequestText("/safe/x"));
  CHECK(world.requests_run() == 0);
}

TEST_CASE("A request gets its final answer at its route's timeout",
          "[fleet][front]") {
  FrontWorld world({Send("")}, {Send("")});
  const std::string got =
      world.Exchange(RequestText("/unsafe/x"), "\r\n\r\n", DurationMs(3'000));
  CHECK(Contains(got, "HTTP/1.1 504 "));
  CHECK(world.requests_run() == 1);
}

TEST_CASE("Requests that two parsers could read in two ways are refused",
          "[fleet][front]") {
  FrontWorld world({kOk}, {kOk});
  const std::string line = "POST /unsafe/x HTTP/1.1\r\n";
  const std::string host = "Host: h.example\r\n";
  const std::vector<std::string> requests = {
      line + host + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
      line + host + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}",
      line + host + "Transfer-Encoding: xchunked\r\n\r\n",
      line + host + "Transfer-Encoding: gzip, chunked\r\n\r\n",
      line + host + host + "\r\n",
      line + "Content-Length: 0\r\n\r\n",
      "POST unsafe HTTP/1.1\r\n" + host + "\r\n",
      "CONNECT /unsafe/x HTTP/1.1\r\n" + host + "\r\n",
      "POST /unsafe/x HTTP/1.1\n" + host + "\r\n",
      line + host + "Content-Length : 2\r\n\r\n{}",
      line + host + "Content-Length: +2\r\n\r\n{}"};
  for (const std::string& request : requests) {
    CAPTURE(request);
    CHECK(Contains(world.Exchange(request, "", DurationMs(500)),
                   "HTTP/1.1 400 "));
  }
  CHECK(world.requests_run() == 0);
}

// Connections kept the limits that were in force when they were opened.
TEST_CASE("Changed limits hold on connections that are open already",
          "[fleet][front]") {
  FrontWorld world({kOk}, {kOk});
  RequestLimits limits;
  SECTION("a longer body") {
    limits.max_body_bytes = 5'000;
    const std::string large =
        "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 9c41\r\n"
        "Content-Length: 2000\r\n\r\n" +
        std::string(2'000, 'x');
    const std::string got = world.ExchangeTwice(
        RequestText("/unsafe/x"), [&] { world.SetLimits(limits); }, large,
        "body");
    CHECK(Contains(got, "HTTP/1.1 200 "));
  }
  SECTION("a longer idle time") {
    limits.idle_timeout = DurationMs(50);
    world.SetLimits(limits);
    const auto raise_limit = [&] {
      limits.idle_timeout = DurationMs(60'000);
      world.SetLimits(limits);
      world.Run(DurationMs(600));
    };
    const std::string got =
        world.ExchangeTwice(RequestText("/unsafe/x"), raise_limit,
                            RequestText("/unsafe/x"), "body");
    CHECK(Contains(got, "HTTP/1.1 200 "));
  }
}

TEST_CASE("What is too long is refused by its own status", "[fleet][front]") {
  FrontWorld world({kOk}, {kOk});
  const std::string start = "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\n";
  CHECK(Contains(
      world.Exchange(start + "X: " + std::string(5'000, 'x') + "\r\n\r\n", "",
                     DurationMs(500)),
      "HTTP/1.1 431 "));
  CHECK(Contains(world.Exchange(start + "Content-Length: 2000\r\n\r\n", "",
                                DurationMs(500)),
                 "HTTP/1.1 413 "));
  CHECK(
      Contains(world.Exchange("GET /none/ HTTP/1.1\r\nHost: h.example\r\n\r\n",
                              "\r\n\r\n"),
               "HTTP/1.1 404 "));
}

}  // namespace yuccamoor::fleet
