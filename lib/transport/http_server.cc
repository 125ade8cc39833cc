/// \file
/// \brief The HTTP server on Boost.Beast.

#include "yuccamoor/transport/http_server.h"

#include <glog/logging.h>

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>

#include "http_exchange.h"
#include "yuccamoor/transport/worker_pool.h"

namespace yuccamoor {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;

std::chrono::milliseconds ToChrono(DurationMs duration) {
  return std::chrono::milliseconds(duration.ms());
}

HttpRequest ToPlain(http::request<http::string_body>&& message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) {
    request.headers.Add(std::string(field.name_string()),
                        std::string(field.value()));
  }
  request.body = std::move(message.body());
  return request;
}

std::size_t HeaderBytes(const http::request<http::string_body>& message) {
  std::size_t bytes = message.target().size();
  for (const auto& field : message) {
    bytes += field.name_string().size() + field.value().size();
  }
  return bytes;
}

int StatusOfReadError(const boost::system::error_code& error) {
  if (error == http::error::header_limit) return 431;
  if (error == http::error::body_limit) return 413;
  return 400;
}

bool IsRequestError(const boost::system::error_code& error) {
  return error.category() ==
             make_error_code(http::error::bad_method).category() &&
         error != http::error::end_of_stream &&
         error != http::error::partial_message;
}

/// The server; shared by the coroutines of its connections.
class BeastServer final : public HttpServer,
                          public std::enable_shared_from_this<BeastServer> {
 public:
  BeastServer(WorkerPool& pool, HttpServerOptions options, HttpHandler handler)
      : m_pool(pool),
        m_options(std::move(options)),
        m_handler(std::move(handler)),
        m_acceptor(pool.Context(0)) {}

  void Listen() {
    const Tcp::endpoint endpoint(asio::ip::make_address(m_options.address),
                                 m_options.port);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(Tcp::acceptor::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
    m_port = m_acceptor.local_endpoint().port();
    asio::co_spawn(
        m_acceptor.get_executor(),
        [self = shared_from_this()] { return self->AcceptLoop(); },
        asio::detached);
  }

  std::uint16_t port() const override { return m_port; }
  std::size_t active_exchanges() const override { return m_active; }

  void Drain() override {
    m_draining = true;
    asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
      boost::system::error_code ignored;
      self->m_acceptor.close(ignored);
    });
  }

 private:
  Awaitable<void> AcceptLoop() {
    constexpr DurationMs kPauseAfterError(10);
    while (!m_draining) {
      asio::io_context& context = m_pool.NextContext();
      boost::system::error_code error;
      Tcp::socket socket(context);
      co_await m_acceptor.async_accept(
          socket, asio::redirect_error(asio::use_awaitable, error));
      if (m_draining) co_return;
      if (error) {
        co_await SleepFor(kPauseAfterError);
        continue;
      }
      if (m_connections >= m_options.max_connections) continue;
      ++m_connections;
      asio::co_spawn(
          context,
          [self = shared_from_this(),
           shared = std::make_shared<Tcp::socket>(std::move(socket))] {
            return self->ServeAndCount(std::move(*shared));
          },
          asio::detached);
    }
  }

  Awaitable<void> ServeAndCount(Tcp::socket socket) {
    try {
      co_await Serve(std::move(socket));
    } catch (const std::exception& error) {
      VLOG(1) << "event=connection_ended error=\"" << error.what() << '"';
    }
    --m_connections;
  }

  Awaitable<void> Serve(Tcp::socket socket) {
    socket.set_option(Tcp::no_delay(true));
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    bool reuse = true;
    while (reuse && !m_draining) {
      reuse = co_await ServeOne(stream, buffer);
    }
    boost::system::error_code ignored;
    stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
  }

  /// Waits for the first byte of a request within the idle timeout.
  Awaitable<bool> AwaitRequest(beast::tcp_stream& stream,
                               beast::flat_buffer& buffer) {
    if (buffer.size() > 0) co_return true;
    constexpr std::size_t kFirstRead = 4096;
    stream.expires_after(ToChrono(m_options.idle_timeout));
    boost::system::error_code error;
    const std::size_t got = co_await stream.async_read_some(
        buffer.prepare(kFirstRead),
        asio::redirect_error(asio::use_awaitable, error));
    buffer.commit(got);
    co_return !error;
  }

  /// Serves one exchange; returns whether the connection may be used again.
  Awaitable<bool> ServeOne(beast::tcp_stream& stream,
                           beast::flat_buffer& buffer) {
    if (!co_await AwaitRequest(stream, buffer)) co_return false;
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(m_options.max_header_bytes));
    parser.body_limit(m_options.max_body_bytes);
    stream.expires_after(ToChrono(m_options.read_timeout));
    boost::system::error_code error;
    co_await http::async_read(stream, buffer, parser,
                              asio::redirect_error(asio::use_awaitable, error));
    if (!error && HeaderBytes(parser.get()) > m_options.max_header_bytes) {
      // Beast does not check a header that arrives in one piece.
      error = http::error::header_limit;
    }
    if (error) {
      if (IsRequestError(error)) co_await Refuse(stream, error);
      co_return false;
    }
    const bool keep_alive = parser.keep_alive();
    BeastExchange exchange(stream, ToPlain(parser.release()), keep_alive,
                           m_options.write_timeout);
    stream.expires_never();
    ++m_active;
    try {
      co_await m_handler(exchange);
    } catch (...) {
      --m_active;
      throw;
    }
    --m_active;
    co_return exchange.MayReuse();
  }

  Awaitable<void> Refuse(beast::tcp_stream& stream,
                         boost::system::error_code error) {
    BeastExchange exchange(stream, HttpRequest(), false,
                           m_options.write_timeout);
    const int status = StatusOfReadError(error);
    co_await exchange.Send(JsonResponse(
        status, R"({"error":{"type":"invalid_request","outcome":"not_run",)"
                R"("message":")" +
                    error.message() + "\"}}"));
  }

  WorkerPool& m_pool;
  HttpServerOptions m_options;
  HttpHandler m_handler;
  Tcp::acceptor m_acceptor;
  std::uint16_t m_port = 0;
  std::atomic<bool> m_draining{false};
  std::atomic<std::size_t> m_connections{0};
  std::atomic<std::size_t> m_active{0};
};

/// Owns the server on behalf of its user; the connections share it.
class ServerHandle final : public HttpServer {
 public:
  explicit ServerHandle(std::shared_ptr<BeastServer> server)
      : m_server(std::move(server)) {}
  ~ServerHandle() override { m_server->Drain(); }

  std::uint16_t port() const override { return m_server->port(); }
  std::size_t active_exchanges() const override {
    return m_server->active_exchanges();
  }
  void Drain() override { m_server->Drain(); }

 private:
  std::shared_ptr<BeastServer> m_server;
};

}  // namespace

Result<std::unique_ptr<HttpServer>> HttpServer::Create(
    WorkerPool& pool, HttpServerOptions options, HttpHandler handler) {
  const std::string place =
      options.address + ":" + std::to_string(options.port);
  auto server = std::make_shared<BeastServer>(pool, std::move(options),
                                              std::move(handler));
  try {
    server->Listen();
  } catch (const std::exception& error) {
    return Findings(Finding{Place{place, "", 0, 0},
                            std::string("cannot listen: ") + error.what(),
                            "choose a free port and an address of this VM"});
  }
  return std::unique_ptr<HttpServer>(
      std::make_unique<ServerHandle>(std::move(server)));
}

}  // namespace yuccamoor
