/// \file
/// \brief An endpoint whose answers never end, for tests.

#ifndef YUCCAMOOR_UNITTESTS_TRANSPORT_FLEET_ENDLESS_ENDPOINT_H_
#define YUCCAMOOR_UNITTESTS_TRANSPORT_FLEET_ENDLESS_ENDPOINT_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <list>
#include <memory>
#include <string>

#include "yuccamoor/transport/fleet/listener.h"
#include "yuccamoor/transport/fleet/socket.h"

namespace yuccamoor::fleet {

/// What an endless endpoint sends for each request.
struct EndlessAnswer {
  std::string beginning;
  /// Sent again and again after that.
  std::string repeated;
  /// After this many bytes the endpoint sends nothing more, but keeps the
  /// connection.
  std::size_t silent_after = SIZE_MAX;
  /// Nothing is sent before this many requests have been read.
  std::size_t begins_at = 1;
};

/// Counts what its peers have taken on connections that are still open.
class EndlessEndpoint {
 public:
  EndlessEndpoint(boost::asio::io_context& io, EndlessAnswer answer);

  std::uint16_t port() const { return m_listener->port(); }
  /// Requests that were read.
  std::size_t requests() const { return m_requests; }
  /// Connections that have been answered until silence or until they ended.
  std::size_t settled() const { return m_settled; }
  /// The most bytes that peers held on connections open at one time.
  std::size_t peak_bytes() const { return m_peak_bytes; }

 private:
  struct Connection {
    std::unique_ptr<Socket> socket;
    std::string in;
    std::string out;
    std::size_t sent = 0;
    bool has_request = false;
    bool settled = false;
  };

  void AwaitEnd(Connection& connection);
  void OnReadable(Connection& connection);
  void Begin();
  void Send(Connection& connection);
  void Settle(Connection& connection);
  void End(Connection& connection);

  EndlessAnswer m_answer;
  std::string m_block;
  std::size_t m_requests = 0;
  std::size_t m_settled = 0;
  std::size_t m_open_bytes = 0;
  std::size_t m_peak_bytes = 0;
  std::list<Connection> m_connections;
  std::unique_ptr<Listener> m_listener;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_UNITTESTS_TRANSPORT_FLEET_ENDLESS_ENDPOINT_H_
