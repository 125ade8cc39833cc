/// \file
/// \brief A non-blocking TCP socket for one event loop, with as few system
/// calls and wake-ups as its user allows.

#ifndef YUCCAMOOR_TRANSPORT_FLEET_SOCKET_H_
#define YUCCAMOOR_TRANSPORT_FLEET_SOCKET_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "yuccamoor/state/fleet/node_settings.h"

namespace yuccamoor::fleet {

/// How a read or write went.
enum class IoStatus : std::uint8_t { kOk, kWouldBlock, kEnd, kReset };

/// The outcome of a read or write.
struct IoResult {
  IoStatus status = IoStatus::kOk;
  std::size_t bytes = 0;
};

/// One connection. Callbacks are never called after Close or after the object
/// has gone.
class Socket {
 public:
  using Callback = std::function<void()>;
  using ConnectCallback = std::function<void(bool connected)>;

  explicit Socket(boost::asio::io_context& io);
  explicit Socket(boost::asio::ip::tcp::socket accepted);
  ~Socket();
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  /// Connects and reports the outcome once.
  void Connect(const SocketAddress& address, ConnectCallback done);
  /// Calls back once when there is something to read, an end included.
  void AwaitReadable(Callback ready);
  /// Calls back once when more can be written.
  void AwaitWritable(Callback ready);

  /// Reads what is there, appending at most \p limit bytes to \p out.
  IoResult Read(std::string& out, std::size_t limit);
  /// Writes what the socket takes of the data.
  IoResult Write(std::string_view data);
  /// Returns the bytes that have come and were not read.
  std::size_t Unread();
  /// Whether an idle connection is still good: open, with nothing to read.
  bool IsQuiet();
  /// Whether all that the peer sent has been read and it has closed.
  bool PeerHasClosed();

  /// Written bytes that the peer has not acknowledged.
  std::size_t UnacknowledgedBytes();
  /// Lets the operating system hold so many unsent bytes, as far as it allows.
  void ReserveSendBuffer(std::size_t bytes);

  /// Stops the event loop from waking up for this socket, until a callback is
  /// asked for again. Read and Write go on working.
  void Detach();

  /// Closes the connection; with \p reset the peer learns at once that
  /// nothing more follows.
  void Close(bool reset = false);
  bool is_open() const;

 private:
  int Handle();
  void Attach();

  struct Life {};

  boost::asio::ip::tcp::socket m_socket;
  int m_detached = -1;
  std::shared_ptr<Life> m_life = std::make_shared<Life>();
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_TRANSPORT_FLEET_SOCKET_H_
