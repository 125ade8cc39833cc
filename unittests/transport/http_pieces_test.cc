/// \file
/// \brief Tests of how the HTTP client cuts a streamed body into pieces.

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "yuccamoor/transport/http_client.h"
#include "yuccamoor/transport/worker_pool.h"

namespace yuccamoor {
namespace {

using Tcp = asio::ip::tcp;
constexpr const char* kHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Answers one request with the bytes, in one write, and closes.
class RawServer {
 public:
  explicit RawServer(std::string bytes)
      : m_acceptor(m_context,
                   Tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        m_thread([this, bytes = std::move(bytes)] { Serve(bytes); }) {}
  ~RawServer() { m_thread.join(); }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  }

 private:
  void Serve(const std::string& bytes) {
    Tcp::socket socket = m_acceptor.accept();
    std::string request;
    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
    asio::write(socket, asio::buffer(bytes));
  }

  asio::io_context m_context;
  Tcp::acceptor m_acceptor;
  std::thread m_thread;
};

struct Body {
  int status = 0;
  std::vector<std::string> pieces;
  bool whole = false;
};

/// Reads the body that a server answers with.
Body ReadBody(const std::string& bytes) {
  const RawServer server(bytes);
  WorkerPool pool(1);
  const auto client = HttpClient::Create(pool);
  std::promise<Body> promise;
  pool.Spawn([&]() -> Awaitable<void> {
    const HttpCallOptions options;
    const HttpRequest request;
    const auto stream =
        co_await client->Open(server.address(), request, options);
    Body body;
    if (stream->progress() == HttpProgress::kAnswered) {
      body.status = stream->head().status;
    }
    while (auto piece = co_await stream->Read(DurationMs(10'000))) {
      body.pieces.push_back(std::move(*piece));
    }
    body.whole = stream->whole();
    promise.set_value(std::move(body));
  });
  pool.Start();
  Body body = promise.get_future().get();
  pool.Stop();
  return body;
}

}  // namespace

TEST_CASE("Chunks that came together are one piece", "[http]") {
  const std::string chunks = "1\r\na\r\n2\r\nbc\r\n1\r\nd\r\n";
  const Body whole = ReadBody(kHead + chunks + "0\r\n\r\n");
  CHECK(whole.pieces == std::vector<std::string>{"abcd"});
  CHECK(whole.whole);

  const Body cut = ReadBody(kHead + chunks);
  CHECK(cut.pieces == std::vector<std::string>{"abcd"});
  CHECK_FALSE(cut.whole);

  const Body broken = ReadBody(kHead + chunks + "zz\r\n");
  CHECK(broken.pieces.front() == "abcd");
  CHECK_FALSE(broken.whole);
}

// An interim response counted as the answer, and any three digits as a status.
TEST_CASE("Only a status that HTTP has is an answer's", "[http]") {
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
  const Body after = ReadBody("HTTP/1.1 100 Continue\r\n\r\n" + answer);
  CHECK(after.status == 200);
  CHECK(after.pieces == std::vector<std::string>{"ab"});
  CHECK(after.whole);

  for (const std::string status : {"000", "099", "101", "600", "999"}) {
    const Body odd =
        ReadBody("HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\nab");
    CAPTURE(status);
    CHECK(odd.status == 0);
    CHECK(odd.pieces.empty());
    CHECK_FALSE(odd.whole);
  }
}

}  // namespace yuccamoor
