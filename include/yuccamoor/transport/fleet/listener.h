/// \file
/// \brief Accepts TCP connections on one address.

#ifndef YUCCAMOOR_TRANSPORT_FLEET_LISTENER_H_
#define YUCCAMOOR_TRANSPORT_FLEET_LISTENER_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "yuccamoor/state/fleet/node_settings.h"
#include "yuccamoor/state/result.h"

namespace yuccamoor::fleet {

/// A listening socket.
class Listener {
 public:
  using Accepted = std::function<void(boost::asio::ip::tcp::socket)>;

  /// Binds and listens; port 0 takes a free one. The finding of a failure names
  /// the address.
  static Result<std::unique_ptr<Listener>> Create(boost::asio::io_context& io,
                                                  const SocketAddress& address,
                                                  Accepted accepted);

  /// The port that it listens on.
  std::uint16_t port() const;

  void Close();

 private:
  Listener(boost::asio::io_context& io, Accepted accepted);
  void Accept();

  boost::asio::ip::tcp::acceptor m_acceptor;
  boost::asio::steady_timer m_pause;
  Accepted m_accepted;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_TRANSPORT_FLEET_LISTENER_H_
