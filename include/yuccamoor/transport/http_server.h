/// \file
/// \brief An HTTP/1.1 server over a worker pool.

#ifndef YUCCAMOOR_TRANSPORT_HTTP_SERVER_H_
#define YUCCAMOOR_TRANSPORT_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/result.h"
#include "yuccamoor/transport/asio.h"
#include "yuccamoor/transport/http.h"

namespace yuccamoor {

class WorkerPool;

/// Limits of one server.
struct HttpServerOptions {
  /// The IP number and port to listen on; port 0 takes a free one.
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  std::size_t max_body_bytes = 1'048'576;
  std::size_t max_header_bytes = 16'384;
  std::size_t max_connections = 10'000;
  /// The longest time that a request may take to arrive.
  DurationMs read_timeout{10'000};
  /// The longest time that one write to a slow client may take.
  DurationMs write_timeout{10'000};
  /// The longest time that a connection may stay without a request.
  DurationMs idle_timeout{60'000};
};

/// One request and the way to answer it. Exactly one of Send or StartStream is
/// called. Every write throws boost::system::system_error when the client has
/// gone.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest& request() const = 0;

  /// Sends a whole response.
  virtual Awaitable<void> Send(HttpResponse response) = 0;

  /// Sends the header of a chunked response.
  virtual Awaitable<void> StartStream(int status, HttpHeaders headers) = 0;
  /// Sends one chunk and returns when the socket has taken it.
  virtual Awaitable<void> Write(std::string_view chunk) = 0;
  /// Ends the chunked response. Without it the client sees a cut response.
  virtual Awaitable<void> FinishStream() = 0;

  /// Whether the client has closed its connection. Does not block.
  virtual bool ClientGone() = 0;
};

/// Handles one exchange. A handler that returns without an answer closes the
/// connection.
using HttpHandler = std::function<Awaitable<void>(HttpExchange&)>;

/// Accepts connections and calls the handler for each request. Malformed
/// requests get 400, long headers 431, long bodies 413, without the handler.
class HttpServer {
 public:
  /// Binds and listens. The finding of a failure names the address.
  static Result<std::unique_ptr<HttpServer>> Create(WorkerPool& pool,
                                                    HttpServerOptions options,
                                                    HttpHandler handler);

  virtual ~HttpServer() = default;

  /// The port that the server listens on.
  virtual std::uint16_t port() const = 0;
  /// Exchanges whose handler has not returned.
  virtual std::size_t active_exchanges() const = 0;
  /// Stops to accept connections and closes each one after its current
  /// exchange. Safe to call from any thread.
  virtual void Drain() = 0;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_HTTP_SERVER_H_
