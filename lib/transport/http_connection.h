/// \file
/// \brief Connections of the HTTP client, and those that wait to be used again.

#ifndef YUCCAMOOR_LIB_TRANSPORT_HTTP_CONNECTION_H_
#define YUCCAMOOR_LIB_TRANSPORT_HTTP_CONNECTION_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "yuccamoor/transport/asio.h"

namespace yuccamoor {

/// One connection to a server.
struct HttpConnection {
  explicit HttpConnection(const asio::any_io_executor& executor)
      : stream(executor) {}

  /// Connects to "ip:port" within the stream's deadline. Returns an empty
  /// string, or why there is no connection.
  Awaitable<std::string> Connect(std::string address);

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
};

using HttpConnectionPtr = std::unique_ptr<HttpConnection>;

/// Idle connections of one thread, by address.
class HttpConnectionCache {
 public:
  /// Returns a connection that the server has not closed, or null.
  HttpConnectionPtr Take(const std::string& address);
  /// Keeps a connection that has carried a whole exchange.
  void Put(const std::string& address, HttpConnectionPtr connection);

 private:
  std::unordered_map<std::string, std::vector<HttpConnectionPtr>> m_idle;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_LIB_TRANSPORT_HTTP_CONNECTION_H_
