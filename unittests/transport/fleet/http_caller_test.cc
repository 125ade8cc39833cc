/// \file
/// \brief Tests of small calls whose responses never end.

#include "yuccamoor/transport/fleet/http_caller.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "transport/fleet/endless_endpoint.h"
#include "yuccamoor/state/fleet/boot_clock.h"

namespace yuccamoor::fleet {
namespace {

constexpr std::size_t kCalls = 20;
constexpr std::size_t kEach = 1'048'576;
constexpr int kMostSteps = 4'000;

HttpCall CallTo(std::uint16_t port) {
  HttpCall call;
  call.address = {"127.0.0.1", port};
  call.timeout = DurationMs(600'000);
  return call;
}

EndlessAnswer Endless(std::size_t begins_at) {
  EndlessAnswer answer;
  answer.beginning = "HTTP/1.1 200 OK\r\nContent-Length: 16000000\r\n\r\n";
  answer.repeated = "x";
  answer.silent_after = kEach;
  answer.begins_at = begins_at;
  return answer;
}

// Runs until all connections are silent or ended.
void RunUntilSettled(boost::asio::io_context& io,
                     const EndlessEndpoint& endpoint, std::size_t count) {
  for (int i = 0; i < kMostSteps && endpoint.settled() < count; ++i) {
    io.restart();
    io.run_for(std::chrono::milliseconds(5));
  }
}

}  // namespace

// Failure: reports and answers to orders, which their senders did not end, were
// all kept until the calls' time was over.
TEST_CASE("Calls whose responses don't end keep a bounded part of them",
          "[fleet][endless]") {
  constexpr std::size_t kMaxBytes = 6'000'000;
  boost::asio::io_context io;
  const BootClock clock;
  MessageBudgetOptions options;
  options.max_bytes = kMaxBytes;
  KeptBytes kept(io, clock, options);
  HttpCaller caller(io, clock, kept);
  EndlessEndpoint endpoint(io, Endless(kCalls));
  std::vector<HttpCallEnd> ends;
  for (std::size_t i = 0; i < kCalls; ++i) {
    caller.Start(CallTo(endpoint.port()),
                 [&ends](const HttpCallEnd& end) { ends.push_back(end); });
  }
  RunUntilSettled(io, endpoint, kCalls);
  REQUIRE(endpoint.settled() == kCalls);
  CHECK(kept.bytes() <= kMaxBytes);
  CHECK((kCalls - ends.size()) * kEach <= kMaxBytes);
  CHECK(ends.size() < kCalls);
  for (const HttpCallEnd& end : ends) {
    CHECK(end.status == 0);
    CHECK(end.sent);
    CHECK(end.body.empty());
  }
}

TEST_CASE("A call whose response is not needed any more ends", "[fleet]") {
  boost::asio::io_context io;
  const BootClock clock;
  KeptBytes kept(io, clock);
  HttpCaller caller(io, clock, kept);
  EndlessEndpoint endpoint(io, Endless(1));
  HttpCall call = CallTo(endpoint.port());
  int parts_left = 3;
  call.on_progress = [&parts_left] { return --parts_left > 0; };
  std::vector<HttpCallEnd> ends;
  caller.Start(std::move(call),
               [&ends](const HttpCallEnd& end) { ends.push_back(end); });
  RunUntilSettled(io, endpoint, 1);
  REQUIRE(ends.size() == 1);
  CHECK(ends.front().status == 0);
  CHECK(parts_left == 0);
}

TEST_CASE("A call's response has a bound of its own", "[fleet][endless]") {
  boost::asio::io_context io;
  const BootClock clock;
  KeptBytes kept(io, clock);
  HttpCaller caller(io, clock, kept);
  EndlessEndpoint endpoint(io, Endless(1));
  HttpCall call = CallTo(endpoint.port());
  call.max_body_bytes = 1'000;
  std::vector<HttpCallEnd> ends;
  caller.Start(std::move(call),
               [&ends](const HttpCallEnd& end) { ends.push_back(end); });
  RunUntilSettled(io, endpoint, 1);
  REQUIRE(ends.size() == 1);
  CHECK(ends.front().status == 0);
  CHECK(ends.front().sent);
}

}  // namespace yuccamoor::fleet
