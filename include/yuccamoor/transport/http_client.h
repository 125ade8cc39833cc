/// \file
/// \brief An HTTP/1.1 client over a worker pool. It never sends a request
/// twice.

#ifndef YUCCAMOOR_TRANSPORT_HTTP_CLIENT_H_
#define YUCCAMOOR_TRANSPORT_HTTP_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/transport/asio.h"
#include "yuccamoor/transport/http.h"

namespace yuccamoor {

class WorkerPool;

/// How far a call came.
enum class HttpProgress : std::uint8_t {
  /// No byte of the request was written.
  kNotSent,
  /// Some of the request was written, and no whole answer came.
  kNoAnswer,
  kAnswered,
};

/// How one call is made.
struct HttpCallOptions {
  /// For the whole call, or for a stream until its header has come.
  DurationMs timeout{10'000};
  /// Uses a connection that has carried no other request.
  bool fresh_connection = false;
  /// The longest body that Call takes; a longer one ends it as kNoAnswer.
  std::size_t max_body_bytes = 16'777'216;
  /// Asked right before the first byte is written; false ends the call as
  /// kNotSent.
  std::function<bool()> may_send;
};

/// The end of a call.
struct HttpReply {
  HttpProgress progress = HttpProgress::kNotSent;
  /// Why the call was not answered.
  std::string error;
  HttpResponse response;
};

/// A response whose body is read piece by piece.
class HttpResponseStream {
 public:
  virtual ~HttpResponseStream() = default;

  virtual HttpProgress progress() const = 0;
  virtual const std::string& error() const = 0;
  /// The status and headers, if the progress is kAnswered.
  virtual const HttpResponse& head() const = 0;

  /// Returns the next piece of the body, or nothing at its end; whole()
  /// then tells a complete body from a cut one.
  virtual Awaitable<std::optional<std::string>> Read(DurationMs timeout) = 0;
  virtual bool whole() const = 0;
};

/// Calls servers by "ip:port". Keeps idle connections per thread of the pool.
/// Must be used from coroutines on the pool's contexts.
class HttpClient {
 public:
  static std::unique_ptr<HttpClient> Create(WorkerPool& pool);

  virtual ~HttpClient() = default;

  /// Sends the request and reads the whole response.
  virtual Awaitable<HttpReply> Call(std::string address, HttpRequest request,
                                    HttpCallOptions options) = 0;

  /// Sends the request and reads the response's header.
  virtual Awaitable<std::unique_ptr<HttpResponseStream>> Open(
      std::string address, HttpRequest request, HttpCallOptions options) = 0;
};

/// Returns the body of a GET that was answered by status 200, or nothing.
Awaitable<std::optional<std::string>> GetBody(HttpClient& client,
                                              std::string address,
                                              std::string target,
                                              DurationMs timeout);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_HTTP_CLIENT_H_
