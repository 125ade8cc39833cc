/// \file
/// \brief Tests of what clients and endpoints see of a request.

#include <catch2/catch.hpp>
#include <string>

#include "transport/fleet/front_world.h"
#include "yuccamoor/state/fleet/boot_clock.h"

namespace yuccamoor::fleet {
namespace {

const std::string kStreamHead =
    "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\nResponse-Stamp: s1\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string Chunk(const std::string& data) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string size;
  for (std::size_t n = data.size(); n > 0; n /= 16) {
    size.insert(size.begin(), kDigits[n % 16]);
  }
  return size + "\r\n" + data + "\r\n";
}

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

ScriptedAnswer Send(std::string text) {
  return {EndpointAct::kSend, std::move(text)};
}
ScriptedAnswer SendAndClose(std::string text) {
  return {EndpointAct::kSendAndClose, std::move(text)};
}
ScriptedAnswer SendAndReset(std::string text) {
  return {EndpointAct::kSendAndReset, std::move(text)};
}

const ScriptedAnswer kOk = {EndpointAct::kSend, AnswerText(200, "body")};

}  // namespace

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
