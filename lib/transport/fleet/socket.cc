#include "yuccamoor/transport/fleet/socket.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <cerrno>
#include <climits>
#include <utility>

namespace yuccamoor::fleet {

namespace {

using boost::asio::ip::tcp;

constexpr std::size_t kReadBytes = 16'384;
// An unacknowledged byte this old ends a connection.
constexpr int kUserTimeoutMs = 4'000;

void SetOptions(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.non_blocking(true, ignored);
  socket.set_option(tcp::no_delay(true), ignored);
  const int timeout = kUserTimeoutMs;
  // Without the option, a dead peer is found by the callers' timeouts.
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
               sizeof(timeout));
}

}  // namespace

Socket::Socket(boost::asio::io_context& io) : m_socket(io) {}

Socket::Socket(tcp::socket accepted) : m_socket(std::move(accepted)) {
  SetOptions(m_socket);
}

Socket::~Socket() { Close(); }

void Socket::Connect(const SocketAddress& address, ConnectCallback done) {
  const std::weak_ptr<Life> life = m_life;
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(address.ip, error);
  if (error || address.port == 0) {
    boost::asio::post(m_socket.get_executor(), [life, done] {
      if (!life.expired()) done(false);
    });
    return;
  }
  m_socket.async_connect(
      tcp::endpoint(ip, address.port),
      [this, life, done = std::move(done)](boost::system::error_code failure) {
        if (life.expired()) return;
        if (!failure) SetOptions(m_socket);
        done(!failure);
      });
}

void Socket::AwaitReadable(Callback ready) {
  Attach();
  const std::weak_ptr<Life> life = m_life;
  m_socket.async_wait(
      tcp::socket::wait_read,
      [life, ready = std::move(ready)](boost::system::error_code error) {
        if (life.expired() || error == boost::asio::error::operation_aborted) {
          return;
        }
        ready();
      });
}

void Socket::AwaitWritable(Callback ready) {
  Attach();
  const std::weak_ptr<Life> life = m_life;
  m_socket.async_wait(
      tcp::socket::wait_write,
      [life, ready = std::move(ready)](boost::system::error_code error) {
        if (life.expired() || error == boost::asio::error::operation_aborted) {
          return;
        }
        ready();
      });
}

IoResult Socket::Read(std::string& out, std::size_t limit) {
  std::array<char, kReadBytes> buffer;
  std::size_t total = 0;
  while (total < limit) {
    const std::size_t want = std::min(buffer.size(), limit - total);
    const ssize_t n = ::recv(Handle(), buffer.data(), want, MSG_DONTWAIT);
    if (n > 0) {
      out.append(buffer.data(), static_cast<std::size_t>(n));
      total += static_cast<std::size_t>(n);
      // A short read means that nothing more is there.
      if (static_cast<std::size_t>(n) < want) break;
      continue;
    }
    if (n == 0) return {IoStatus::kEnd, total};
    if (errno == EINTR) continue;
    if (errno == EAGAIN || errno == EWOULDBLOCK) {
      return {total > 0 ? IoStatus::kOk : IoStatus::kWouldBlock, total};
    }
    return {IoStatus::kReset, total};
  }
  return {IoStatus::kOk, total};
}

IoResult Socket::Write(std::string_view data) {
  std::size_t total = 0;
  while (total < data.size()) {
    const ssize_t n = ::send(Handle(), data.data() + total, data.size() - total,
                             MSG_DONTWAIT | MSG_NOSIGNAL);
    if (n >= 0) {
      total += static_cast<std::size_t>(n);
      continue;
    }
    if (errno == EINTR) continue;
    if (errno == EAGAIN || errno == EWOULDBLOCK) {
      return {IoStatus::kWouldBlock, total};
    }
    return {IoStatus::kReset, total};
  }
  return {IoStatus::kOk, total};
}

std::size_t Socket::Unread() {
  int bytes = 0;
  if (::ioctl(Handle(), FIONREAD, &bytes) != 0 || bytes < 0) return 0;
  return static_cast<std::size_t>(bytes);
}

bool Socket::IsQuiet() {
  char byte = 0;
  const ssize_t n = ::recv(Handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool Socket::PeerHasClosed() {
  char byte = 0;
  return ::recv(Handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

std::size_t Socket::UnacknowledgedBytes() {
  int bytes = 0;
  if (!is_open() || ::ioctl(Handle(), SIOCOUTQ, &bytes) != 0) return 0;
  return static_cast<std::size_t>(std::max(bytes, 0));
}

void Socket::ReserveSendBuffer(std::size_t bytes) {
  const auto wanted = static_cast<int>(std::min<std::size_t>(bytes, INT_MAX));
  ::setsockopt(Handle(), SOL_SOCKET, SO_SNDBUF, &wanted, sizeof(wanted));
}

void Socket::Detach() {
  if (m_detached >= 0 || !m_socket.is_open()) return;
  boost::system::error_code error;
  const int handle = m_socket.release(error);
  if (!error) m_detached = handle;
}

void Socket::Attach() {
  if (m_detached < 0) return;
  boost::system::error_code error;
  m_socket.assign(tcp::v4(), m_detached, error);
  if (error) {
    ::close(m_detached);
  } else {
    m_socket.non_blocking(true, error);
  }
  m_detached = -1;
}

int Socket::Handle() {
  return m_detached >= 0 ? m_detached : m_socket.native_handle();
}

void Socket::Close(bool reset) {
  m_life.reset();
  if (!is_open()) return;
  if (reset) {
    const linger now{1, 0};
    ::setsockopt(Handle(), SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  }
  if (m_detached >= 0) {
    ::close(m_detached);
    m_detached = -1;
    return;
  }
  boost::system::error_code ignored;
  m_socket.close(ignored);
}

bool Socket::is_open() const { return m_detached >= 0 || m_socket.is_open(); }

}  // namespace yuccamoor::fleet
