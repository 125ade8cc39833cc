/// \file
/// \brief Tests of endpoints and clients that send bytes without end.

#include <algorithm>
#include <catch2/catch.hpp>
#include <list>
#include <string>

#include "transport/fleet/endless_endpoint.h"
#include "transport/fleet/front_texts.h"
#include "transport/fleet/front_world.h"

namespace yuccamoor::fleet {
namespace {

constexpr std::size_t kConnections = 200;
constexpr std::size_t kEach = 1'048'576;
// What all of them together may cost, with what the kernel buffers.
constexpr std::size_t kMostBytes = 67'108'864;
// Longer than any wait of these tests, so that deadlines end no request.
constexpr DurationMs kLong{30'000};
constexpr int kMostSteps = 4'000;

std::string LongRequest(const std::string& path) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 9c41\r\n"
         "Deadline-Ms: 600000\r\nContent-Length: 2\r\n\r\n{}";
}

// A client that waits for its answer.
class Client {
 public:
  Client(FrontWorld& world, std::string request)
      : m_socket(world.io()), m_out(std::move(request)) {
    m_socket.Connect({"127.0.0.1", world.front_port()},
                     [this](bool) { Write(); });
  }

  /// What has come so far.
  const std::string& Read() {
    m_socket.Read(m_in, kEach);
    return m_in;
  }
  bool has_sent() const { return m_out.empty(); }

 private:
  void Write() {
    const IoResult result = m_socket.Write(m_out);
    m_out.erase(0, result.bytes);
    if (result.status == IoStatus::kWouldBlock) {
      m_socket.AwaitWritable([this] { Write(); });
    }
  }

  Socket m_socket;
  std::string m_out;
  std::string m_in;
};

// Counts the clients whose answer begins so.
std::size_t CountAnswers(std::list<Client>& clients, const std::string& text) {
  return static_cast<std::size_t>(std::count_if(
      clients.begin(), clients.end(),
      [&text](Client& client) { return client.Read().starts_with(text); }));
}

bool IsServed(FrontWorld& world) {
  const std::string seen =
      world.Exchange(LongRequest("/sound/x"), "body", kLong);
  return seen.starts_with("HTTP/1.1 200") && seen.ends_with("body");
}

}  // namespace

// Failure: heads of other messages without end were passed over without a
// bound, and held up the whole node until the request's deadline.
TEST_CASE("Heads without end end the request that waits for its own",
          "[fleet][endless]") {
  FrontWorld world({kOk}, {kOk});
  EndlessAnswer answer;
  SECTION("informational ones") {
    answer.repeated = "HTTP/1.1 100 Continue\r\n\r\n";
  }
  SECTION("those of other requests' responses") {
    answer.repeated =
        "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 1\r\n\r\nx";
  }
  SECTION("bodies of other requests' responses") {
    answer.beginning =
        "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n"
        "Content-Length: 16000000\r\n\r\n";
    answer.repeated = "x";
  }
  SECTION("a part of one, and then silence") {
    answer.beginning = "HTTP/1.1 200 OK\r\nA: b";
    answer.silent_after = 1;
  }
  EndlessEndpoint troubled(world.io(), answer);
  world.AddTroubled(troubled.port());
  const std::string seen =
      world.Exchange(LongRequest("/troubled/x"), "\r\n\r\n", kLong);
  CHECK(seen.starts_with("HTTP/1.1 502"));
  CHECK(troubled.requests() == 1);
  CHECK(IsServed(world));
}

TEST_CASE("Informational heads before an answer are passed over",
          "[fleet][endless]") {
  std::string text;
  for (int i = 0; i < 100; ++i) text += "HTTP/1.1 102 Processing\r\n\r\n";
  text += AnswerText(200, "body");
  FrontWorld world({Send(text)}, {Send(text)});
  const std::string seen = world.Exchange(RequestText("/unsafe/x"), "body");
  CHECK(seen.starts_with("HTTP/1.1 200"));
  CHECK(world.requests_run() == 1);
}

// Failure: each answer was bounded, all of them together were not. A node kept
// them until it ran out of memory, and all its clients' requests ended with it.
TEST_CASE("Bodies without end leave a node its memory and other requests",
          "[fleet][endless]") {
  FrontWorld world({kOk}, {kOk});
  EndlessAnswer answer;
  answer.beginning = "HTTP/1.1 200 OK\r\nContent-Length: 16000000\r\n\r\n";
  answer.repeated = "x";
  answer.silent_after = kEach;
  answer.begins_at = kConnections;
  EndlessEndpoint troubled(world.io(), answer);
  world.AddTroubled(troubled.port());
  std::list<Client> clients;
  for (std::size_t i = 0; i < kConnections; ++i) {
    clients.emplace_back(world, LongRequest("/troubled/x"));
    for (int step = 0; step < kMostSteps && troubled.requests() <= i; ++step) {
      world.Run(DurationMs(1));
    }
  }
  REQUIRE(troubled.requests() == kConnections);
  std::size_t asked = 0;
  std::size_t served = 0;
  while (troubled.settled() < kConnections && asked < kMostSteps) {
    ++asked;
    if (IsServed(world)) ++served;
  }
  CHECK(troubled.settled() == kConnections);
  CHECK(troubled.peak_bytes() < kMostBytes);
  CHECK(served == asked);
  // No part of a body is an answer, and each request may have run.
  const std::size_t failed = CountAnswers(clients, "HTTP/1.1 502");
  CHECK(failed > 0);
  CHECK(failed == CountAnswers(clients, "HTTP/1.1"));
  CHECK(troubled.requests() == kConnections);
}

// Failure: the same with the bodies of requests that their clients don't end.
TEST_CASE("Requests without end leave a node its memory and other requests",
          "[fleet][endless]") {
  constexpr std::size_t kClients = 60;
  FrontWorld world({kOk}, {kOk});
  EndlessEndpoint unused(world.io(), {});
  world.AddTroubled(unused.port());
  RequestLimits limits;
  limits.max_body_bytes = 2 * kEach;
  world.SetLimits(limits);
  std::list<Client> clients;
  for (std::size_t i = 0; i < kClients; ++i) {
    Client& client =
        clients.emplace_back(world,
                             "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\n"
                             "Content-Length: 2000000\r\n\r\n" +
                                 std::string(kEach, 'x'));
    for (int step = 0; step < kMostSteps && !client.has_sent(); ++step) {
      world.Run(DurationMs(1));
    }
  }
  world.Run(DurationMs(50));
  // They were not passed on, so the answer says that they were not run.
  const std::size_t refused = CountAnswers(clients, "HTTP/1.1 503");
  CHECK((kClients - refused) * kEach < kMostBytes / 2);
  CHECK(refused < kClients);
  CHECK(world.requests_run() == 0);
}

}  // namespace yuccamoor::fleet
