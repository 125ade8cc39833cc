#include "yuccamoor/transport/fleet/listener.h"

#include <boost/asio/ip/address.hpp>
#include <chrono>
#include <string>
#include <utility>

namespace yuccamoor::fleet {

namespace {
using boost::asio::ip::tcp;
constexpr int kBacklog = 1'024;
// After a failed accept, such as without a free descriptor.
constexpr std::chrono::milliseconds kAcceptPause{50};
}  // namespace

Result<std::unique_ptr<Listener>> Listener::Create(boost::asio::io_context& io,
                                                   const SocketAddress& address,
                                                   Accepted accepted) {
  std::unique_ptr<Listener> listener(new Listener(io, std::move(accepted)));
  tcp::acceptor& acceptor = listener->m_acceptor;
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(address.ip, error);
  if (!error) acceptor.open(tcp::v4(), error);
  if (!error) acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind({ip, address.port}, error);
  if (!error) acceptor.listen(kBacklog, error);
  if (error) {
    return Findings(Finding{Place{ToString(address), "", 0, 0},
                            "cannot listen: " + error.message(), ""});
  }
  listener->Accept();
  return listener;
}

Listener::Listener(boost::asio::io_context& io, Accepted accepted)
    : m_acceptor(io), m_pause(io), m_accepted(std::move(accepted)) {}

void Listener::Accept() {
  m_acceptor.async_accept(
      [this](boost::system::error_code error, tcp::socket socket) {
        if (!m_acceptor.is_open()) return;
        if (!error) {
          m_accepted(std::move(socket));
          Accept();
          return;
        }
        m_pause.expires_after(kAcceptPause);
        m_pause.async_wait([this](boost::system::error_code cancelled) {
          if (!cancelled) Accept();
        });
      });
}

std::uint16_t Listener::port() const {
  return m_acceptor.local_endpoint().port();
}

void Listener::Close() {
  boost::system::error_code ignored;
  m_acceptor.close(ignored);
  m_pause.cancel();
}

}  // namespace yuccamoor::fleet
