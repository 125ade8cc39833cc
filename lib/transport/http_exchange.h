/// \file
/// \brief One exchange of the HTTP server, on Boost.Beast.

#ifndef YUCCAMOOR_LIB_TRANSPORT_HTTP_EXCHANGE_H_
#define YUCCAMOOR_LIB_TRANSPORT_HTTP_EXCHANGE_H_

#include <boost/beast/core/tcp_stream.hpp>
#include <string_view>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/transport/http_server.h"

namespace yuccamoor {

/// An exchange on a connection, which must outlive it.
class BeastExchange final : public HttpExchange {
 public:
  BeastExchange(boost::beast::tcp_stream& stream, HttpRequest request,
                bool keep_alive, DurationMs write_timeout);

  const HttpRequest& request() const override { return m_request; }
  Awaitable<void> Send(HttpResponse response) override;
  Awaitable<void> StartStream(int status, HttpHeaders headers) override;
  Awaitable<void> Write(std::string_view chunk) override;
  Awaitable<void> FinishStream() override;
  bool ClientGone() override;

  /// Whether the connection can carry another exchange.
  bool MayReuse() const { return m_finished && m_keep_alive; }

 private:
  /// Gives the next write its time.
  void StartWriteTimeout();

  boost::beast::tcp_stream& m_stream;
  HttpRequest m_request;
  bool m_keep_alive;
  DurationMs m_write_timeout;
  bool m_finished = false;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_LIB_TRANSPORT_HTTP_EXCHANGE_H_
