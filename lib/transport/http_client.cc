/// \file
/// \brief The HTTP client on Boost.Beast.

#include "yuccamoor/transport/http_client.h"

#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <limits>
#include <optional>
#include <unordered_map>

#include "http_connection.h"
#include "yuccamoor/protocol/fleet/http_head.h"
#include "yuccamoor/transport/worker_pool.h"

namespace yuccamoor {
namespace {

namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;

std::chrono::milliseconds ToChrono(DurationMs duration) {
  return std::chrono::milliseconds(duration.ms());
}

http::request<http::string_body> ToBeast(HttpRequest request,
                                         const std::string& address) {
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  message.set(http::field::host, address);
  for (const auto& [name, value] : request.headers) message.insert(name, value);
  message.body() = std::move(request.body);
  message.prepare_payload();
  return message;
}

template <class Message>
HttpResponse ToPlainHead(const Message& message) {
  HttpResponse response;
  response.status = static_cast<int>(message.result_int());
  for (const auto& field : message) {
    response.headers.Add(std::string(field.name_string()),
                         std::string(field.value()));
  }
  return response;
}

/// A response that is read by pieces. Gives its connection back when whole.
class BeastResponseStream final : public HttpResponseStream {
 public:
  BeastResponseStream(HttpConnectionCache& cache, std::string address,
                      HttpConnectionPtr connection)
      : m_cache(cache),
        m_address(std::move(address)),
        m_connection(std::move(connection)) {
    m_parser.emplace();
  }

  HttpProgress progress() const override { return m_progress; }
  const std::string& error() const override { return m_error; }
  const HttpResponse& head() const override { return m_head; }
  bool whole() const override { return m_whole; }

  void Fail(HttpProgress progress, std::string error) {
    m_progress = progress;
    m_error = std::move(error);
    m_connection.reset();
  }

  /// Writes the request and reads the header.
  Awaitable<void> Exchange(HttpRequest request,
                           const HttpCallOptions& options) {
    const auto message = ToBeast(std::move(request), m_address);
    if (options.may_send && !options.may_send()) {
      Fail(HttpProgress::kNotSent, "the time to send has passed");
      co_return;
    }
    ErrorCode error;
    co_await http::async_write(
        m_connection->stream, message,
        asio::redirect_error(asio::use_awaitable, error));
    if (!error) co_await ReadHead(error);
    if (error) {
      Fail(HttpProgress::kNoAnswer, error.message());
      co_return;
    }
    m_progress = HttpProgress::kAnswered;
    m_head = ToPlainHead(m_parser->get());
    if (m_parser->is_done()) Finish();
  }

  Awaitable<std::optional<std::string>> Read(DurationMs timeout) override {
    if (!m_connection) co_return std::nullopt;
    std::array<char, kPieceBytes> piece;
    auto& body = m_parser->get().body();
    body.data = piece.data();
    body.size = piece.size();
    m_connection->stream.expires_after(ToChrono(timeout));
    ErrorCode error;
    co_await http::async_read_some(
        m_connection->stream, m_connection->buffer, *m_parser,
        asio::redirect_error(asio::use_awaitable, error));
    const std::size_t got = piece.size() - body.size;
    if (error && error != http::error::need_buffer) {
      Fail(m_progress, error.message());
      co_return got == 0 ? std::nullopt
                         : std::optional(std::string(piece.data(), got));
    }
    std::string text(piece.data(), got);
    TakeBuffered(piece, text);
    if (m_parser->is_done()) {
      Finish();
      if (text.empty()) co_return std::nullopt;
    }
    co_return text;
  }

 private:
  static constexpr std::size_t kPieceBytes = 16'384;
  // More than any service sends before an answer.
  static constexpr int kMaxInterimResponses = 16;

  /// Reads the answer's header, past the responses that come before it.
  Awaitable<void> ReadHead(ErrorCode& error) {
    for (int i = 0; i <= kMaxInterimResponses; ++i) {
      m_parser.emplace();
      m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
      co_await http::async_read_header(
          m_connection->stream, m_connection->buffer, *m_parser,
          asio::redirect_error(asio::use_awaitable, error));
      if (error) co_return;
      const int status = static_cast<int>(m_parser->get().result_int());
      if (fleet::IsInterimStatus(status)) continue;
      if (!fleet::IsResponseStatus(status)) error = http::error::bad_status;
      co_return;
    }
    error = http::error::bad_status;
  }

  /// Appends what has been read ahead, so that chunks which came together are
  /// one piece. An error shows again at the next read.
  void TakeBuffered(std::array<char, kPieceBytes>& piece, std::string& text) {
    auto& buffer = m_connection->buffer;
    auto& body = m_parser->get().body();
    while (buffer.size() > 0 && !m_parser->is_done() &&
           text.size() < kPieceBytes) {
      body.data = piece.data();
      body.size = piece.size();
      ErrorCode error;
      const std::size_t used = m_parser->put(buffer.data(), error);
      buffer.consume(used);
      text.append(piece.data(), piece.size() - body.size);
      if (used == 0 || (error && error != http::error::need_buffer)) return;
    }
  }

  void Finish() {
    m_whole = true;
    if (m_parser->keep_alive()) m_cache.Put(m_address, std::move(m_connection));
    m_connection.reset();
  }

  HttpConnectionCache& m_cache;
  std::string m_address;
  HttpConnectionPtr m_connection;
  // For the header that is being read, or was read last.
  std::optional<http::response_parser<http::buffer_body>> m_parser;
  HttpProgress m_progress = HttpProgress::kNotSent;
  std::string m_error;
  HttpResponse m_head;
  bool m_whole = false;
};

/// The client. The map of caches does not change after construction, and each
/// cache is used by one thread only.
class BeastClient final : public HttpClient {
 public:
  explicit BeastClient(WorkerPool& pool) {
    for (std::size_t i = 0; i < pool.size(); ++i) {
      m_caches.emplace(&pool.Context(i),
                       std::make_unique<HttpConnectionCache>());
    }
  }

  Awaitable<HttpReply> Call(std::string address, HttpRequest request,
                            HttpCallOptions options) override {
    const auto start = std::chrono::steady_clock::now();
    const auto stream =
        co_await Open(std::move(address), std::move(request), options);
    HttpReply reply;
    reply.progress = stream->progress();
    reply.error = stream->error();
    if (reply.progress != HttpProgress::kAnswered) co_return reply;
    reply.response = stream->head();
    while (!stream->whole()) {
      const auto spent = std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::steady_clock::now() - start);
      const auto piece =
          co_await stream->Read(options.timeout - DurationMs(spent.count()));
      if (!piece) break;
      reply.response.body += *piece;
      if (reply.response.body.size() > options.max_body_bytes) {
        reply.progress = HttpProgress::kNoAnswer;
        reply.error = "the response is longer than the caller takes";
        co_return reply;
      }
    }
    if (!stream->whole()) {
      reply.progress = HttpProgress::kNoAnswer;
      reply.error = stream->error();
    }
    co_return reply;
  }

  Awaitable<std::unique_ptr<HttpResponseStream>> Open(
      std::string address, HttpRequest request,
      HttpCallOptions options) override {
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    HttpConnectionCache& cache =
        *m_caches.at(&asio::query(executor, asio::execution::context));
    // One deadline for the connection and the exchange together.
    const auto deadline =
        std::chrono::steady_clock::now() + ToChrono(options.timeout);
    HttpConnectionPtr connection;
    if (!options.fresh_connection) connection = cache.Take(address);
    std::string error;
    if (!connection) {
      connection = std::make_unique<HttpConnection>(executor);
      connection->stream.expires_at(deadline);
      error = co_await connection->Connect(address);
    }
    connection->stream.expires_at(deadline);
    auto stream = std::make_unique<BeastResponseStream>(
        cache, std::move(address), std::move(connection));
    if (!error.empty()) {
      stream->Fail(HttpProgress::kNotSent, std::move(error));
    } else {
      co_await stream->Exchange(std::move(request), options);
    }
    co_return stream;
  }

 private:
  std::unordered_map<const asio::execution_context*,
                     std::unique_ptr<HttpConnectionCache>>
      m_caches;
};

}  // namespace

std::unique_ptr<HttpClient> HttpClient::Create(WorkerPool& pool) {
  return std::make_unique<BeastClient>(pool);
}

Awaitable<std::optional<std::string>> GetBody(HttpClient& client,
                                              std::string address,
                                              std::string target,
                                              DurationMs timeout) {
  constexpr int kOk = 200;
  HttpRequest request;
  request.target = std::move(target);
  HttpCallOptions options;
  options.timeout = timeout;
  HttpReply reply =
      co_await client.Call(std::move(address), std::move(request), options);
  if (reply.progress != HttpProgress::kAnswered ||
      reply.response.status != kOk) {
    co_return std::nullopt;
  }
  co_return std::move(reply.response.body);
}

}  // namespace yuccamoor
