/// \file
/// \brief Implementation of the HTTP client's connections.

#include "http_connection.h"

#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cerrno>
#include <cstdlib>
#include <limits>
#include <optional>
#include <utility>

namespace yuccamoor {
namespace {

using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// An idle connection is usable if it is open and has nothing to read.
bool IsUsable(HttpConnection& connection) {
  char byte = 0;
  const auto got = ::recv(connection.stream.socket().native_handle(), &byte, 1,
                          MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::optional<Tcp::endpoint> ParseEndpoint(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  ErrorCode error;
  const auto ip = asio::ip::make_address(address.substr(0, colon), error);
  const int port = std::atoi(address.c_str() + colon + 1);
  if (error || port <= 0 || port > std::numeric_limits<std::uint16_t>::max()) {
    return std::nullopt;
  }
  return Tcp::endpoint(ip, static_cast<std::uint16_t>(port));
}

}  // namespace

Awaitable<std::string> HttpConnection::Connect(std::string address) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) co_return "not an address: " + address;
  ErrorCode error;
  co_await stream.async_connect(
      *endpoint, asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return error.message();
  stream.socket().set_option(Tcp::no_delay(true), error);
  co_return std::string();
}

HttpConnectionPtr HttpConnectionCache::Take(const std::string& address) {
  auto& idle = m_idle[address];
  while (!idle.empty()) {
    HttpConnectionPtr connection = std::move(idle.back());
    idle.pop_back();
    if (IsUsable(*connection)) return connection;
  }
  return nullptr;
}

void HttpConnectionCache::Put(const std::string& address,
                              HttpConnectionPtr connection) {
  constexpr std::size_t kMaxIdlePerAddress = 64;
  auto& idle = m_idle[address];
  if (idle.size() >= kMaxIdlePerAddress) return;
  connection->stream.expires_never();
  idle.push_back(std::move(connection));
}

}  // namespace yuccamoor
