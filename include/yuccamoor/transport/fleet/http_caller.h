/// \file
/// \brief Small HTTP/1.1 calls from an event loop: to the store and to
/// engines' control interfaces.

#ifndef YUCCAMOOR_TRANSPORT_FLEET_HTTP_CALLER_H_
#define YUCCAMOOR_TRANSPORT_FLEET_HTTP_CALLER_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "yuccamoor/protocol/fleet/http_head.h"
#include "yuccamoor/protocol/fleet/request_target.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/transport/fleet/idle_connections.h"
#include "yuccamoor/transport/fleet/kept_bytes.h"

namespace yuccamoor::fleet {

/// One call. The request's head lacks Host and Content-Length.
struct HttpCall {
  SocketAddress address;
  std::string method = "GET";
  RequestTarget target{"/"};
  std::vector<HeaderField> fields;
  std::string body;
  DurationMs timeout{1'000};
  /// A response with a longer body is no answer.
  std::uint64_t max_body_bytes = 16'777'216;
  /// Whether to use a new connection and close the idle ones, which may have
  /// fallen silent.
  bool new_connection = false;
  /// Called, if set, each time a part of the response has come. If it returns
  /// false, the call ends without an answer.
  std::function<bool()> on_progress;
};

/// The end of a call.
struct HttpCallEnd {
  /// Whether any byte of the request may have reached the peer.
  bool sent = false;
  /// Zero if no whole response came.
  int status = 0;
  std::vector<HeaderField> fields;
  std::string body;

  /// The value of the response's field, or an empty text.
  std::string_view Find(std::string_view name) const;
};

/// Makes calls, keeping idle connections. Single-threaded.
class HttpCaller {
 public:
  using Done = std::function<void(HttpCallEnd)>;

  HttpCaller(boost::asio::io_context& io, const Clock& clock, KeptBytes& kept);
  ~HttpCaller();
  HttpCaller(const HttpCaller&) = delete;
  HttpCaller& operator=(const HttpCaller&) = delete;

  /// Sends the call; calls back exactly once, not before it returns.
  void Start(HttpCall call, Done done);

 private:
  class Run;

  boost::asio::io_context& m_io;
  const Clock& m_clock;
  KeptBytes& m_kept;
  IdleConnections m_idle;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_TRANSPORT_FLEET_HTTP_CALLER_H_
