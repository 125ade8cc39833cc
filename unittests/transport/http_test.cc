/// \file
/// \brief Contract tests of the HTTP server and client against each other.

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "yuccamoor/transport/http_client.h"
#include "yuccamoor/transport/http_server.h"
#include "yuccamoor/transport/worker_pool.h"

namespace yuccamoor {
namespace {

/// A server with one handler and a client, on one pool.
class Loopback {
 public:
  explicit Loopback(HttpHandler handler, HttpServerOptions options = {})
      : m_pool(2),
        m_client(HttpClient::Create(m_pool)),
        m_server(
            HttpServer::Create(m_pool, std::move(options), std::move(handler))
                .value()) {
    m_pool.Start();
  }
  ~Loopback() { m_pool.Stop(); }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(m_server->port());
  }
  std::uint16_t port() const { return m_server->port(); }

  /// Runs a coroutine on the pool and waits for its value.
  template <class T>
  T Run(std::function<Awaitable<T>(HttpClient&)> body) {
    auto promise = std::make_shared<std::promise<T>>();
    auto future = promise->get_future();
    m_pool.Spawn([this, promise, body]() -> Awaitable<void> {
      promise->set_value(co_await body(*m_client));
    });
    return future.get();
  }

  HttpReply Call(HttpRequest request, HttpCallOptions options = {}) {
    return Run<HttpReply>([&, this](HttpClient& client) {
      return client.Call(address(), request, options);
    });
  }

 private:
  WorkerPool m_pool;
  std::unique_ptr<HttpClient> m_client;
  std::unique_ptr<HttpServer> m_server;
};

/// A client below HTTP, which sends and reads only what a test says.
class RawClient {
 public:
  explicit RawClient(std::uint16_t port) : m_socket(m_context) {
    m_socket.connect({asio::ip::address_v4::loopback(), port});
  }

  void Send(std::string_view text) {
    asio::write(m_socket, asio::buffer(text));
  }

  /// Returns all that comes until the server closes the connection.
  std::string ReadAll() {
    std::string text;
    boost::system::error_code error;
    asio::read(m_socket, asio::dynamic_buffer(text), error);
    return text;
  }

 private:
  asio::io_context m_context;
  asio::ip::tcp::socket m_socket;
};

HttpServerOptions ImpatientOptions() {
  HttpServerOptions options;
  options.read_timeout = DurationMs(30);
  options.write_timeout = DurationMs(30);
  options.idle_timeout = DurationMs(30);
  return options;
}

Awaitable<void> Echo(HttpExchange& exchange) {
  HttpResponse response;
  response.body = exchange.request().body;
  co_await exchange.Send(std::move(response));
}

}  // namespace

TEST_CASE("A request is answered and the connection is used again", "[http]") {
  Loopback loopback(Echo);
  for (const char* body : {"one", "two", ""}) {
    HttpRequest request;
    request.method = "POST";
    request.body = body;
    const HttpReply reply = loopback.Call(request);
    INFO(reply.error);
    REQUIRE(reply.progress == HttpProgress::kAnswered);
    CHECK(reply.response.body == body);
  }
}

TEST_CASE("A stream arrives whole", "[http]") {
  Loopback loopback([](HttpExchange& exchange) -> Awaitable<void> {
    co_await exchange.StartStream(200, HttpHeaders());
    for (int i = 0; i < 100; ++i) co_await exchange.Write("piece;");
    co_await exchange.FinishStream();
  });
  const HttpReply reply = loopback.Call({});
  REQUIRE(reply.progress == HttpProgress::kAnswered);
  CHECK(reply.response.body.size() == 600);
}

TEST_CASE("A cut stream is not taken for a whole one", "[http]") {
  Loopback loopback([](HttpExchange& exchange) -> Awaitable<void> {
    co_await exchange.StartStream(200, HttpHeaders());
    co_await exchange.Write("piece;");
  });
  CHECK(loopback.Call({}).progress == HttpProgress::kNoAnswer);
}

TEST_CASE("Oversized requests are refused before the handler", "[http]") {
  HttpServerOptions options;
  options.max_body_bytes = 100;
  options.max_header_bytes = 1000;
  std::atomic<int> handled{0};
  Loopback loopback(
      [&handled](HttpExchange& exchange) {
        ++handled;
        return Echo(exchange);
      },
      options);
  HttpRequest large_body;
  large_body.method = "POST";
  large_body.body = std::string(101, 'x');
  CHECK(loopback.Call(large_body).response.status == 413);
  HttpRequest large_header;
  large_header.headers.Add("X-Large", std::string(2000, 'x'));
  CHECK(loopback.Call(large_header).response.status == 431);
  CHECK(handled == 0);
}

TEST_CASE("A refused send leaves nothing at the server", "[http]") {
  std::atomic<int> handled{0};
  Loopback loopback([&handled](HttpExchange& exchange) {
    ++handled;
    return Echo(exchange);
  });
  HttpCallOptions options;
  options.may_send = [] { return false; };
  CHECK(loopback.Call({}, options).progress == HttpProgress::kNotSent);
  CHECK(loopback.Call({}).progress == HttpProgress::kAnswered);
  CHECK(handled == 1);
}

TEST_CASE("A server that does not answer in time ends the call", "[http]") {
  Loopback loopback([](HttpExchange&) -> Awaitable<void> {
    co_await SleepFor(DurationMs(5'000));
  });
  HttpCallOptions options;
  options.timeout = DurationMs(20);
  CHECK(loopback.Call({}, options).progress == HttpProgress::kNoAnswer);
}

TEST_CASE("A client that stops in mid-request is cut off", "[http]") {
  const std::string_view sent =
      GENERATE("", "PO", "POST / HTTP/1.1\r\nContent-Length: 9\r\n",
               "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf");
  std::atomic<int> handled{0};
  Loopback loopback(
      [&handled](HttpExchange& exchange) {
        ++handled;
        return Echo(exchange);
      },
      ImpatientOptions());
  RawClient client(loopback.port());
  client.Send(sent);
  CHECK(client.ReadAll().empty());
  CHECK(handled == 0);
  CHECK(loopback.Call({}).progress == HttpProgress::kAnswered);
}

TEST_CASE("A client that does not read holds no handler for ever", "[http]") {
  std::promise<std::size_t> written;
  Loopback loopback(
      [&written](HttpExchange& exchange) -> Awaitable<void> {
        if (exchange.request().target != "/endless") {
          co_await Echo(exchange);
          co_return;
        }
        const std::string chunk(65'536, 'x');
        std::size_t bytes = 0;
        try {
          co_await exchange.StartStream(200, HttpHeaders());
          for (;;) {
            co_await exchange.Write(chunk);
            bytes += chunk.size();
          }
        } catch (const boost::system::system_error&) {
          written.set_value(bytes);
          throw;
        }
      },
      ImpatientOptions());
  RawClient client(loopback.port());
  client.Send("GET /endless HTTP/1.1\r\n\r\n");
  // What the sockets' buffers take, and no more.
  constexpr std::size_t kMaxSocketBuffers = 64U << 20;
  CHECK(written.get_future().get() < kMaxSocketBuffers);
  CHECK(loopback.Call({}).progress == HttpProgress::kAnswered);
}

TEST_CASE(
    "Connections above the limit are closed, and one that ends makes "
    "room",
    "[http]") {
  HttpServerOptions options;
  options.max_connections = 1;
  Loopback loopback(Echo, options);
  {
    RawClient first(loopback.port());
    first.Send("GET / HTTP/1.1\r\n\r\n");
    RawClient second(loopback.port());
    CHECK(second.ReadAll().empty());
  }
  // The server learns of the end a little later.
  HttpReply reply;
  while (reply.progress != HttpProgress::kAnswered) reply = loopback.Call({});
  CHECK(reply.response.status == 200);
}

TEST_CASE("A busy port is a finding that names the address", "[http]") {
  WorkerPool pool(1);
  const auto first = HttpServer::Create(pool, {}, Echo);
  REQUIRE(first.has_value());
  HttpServerOptions options;
  options.port = first.value()->port();
  const auto second = HttpServer::Create(pool, options, Echo);
  REQUIRE(second.has_error());
  CHECK(second.error().begin()->place.source ==
        "127.0.0.1:" + std::to_string(options.port));
}

}  // namespace yuccamoor
