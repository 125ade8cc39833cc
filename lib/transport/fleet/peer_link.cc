#include "yuccamoor/transport/fleet/peer_link.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <utility>

namespace yuccamoor::fleet {

namespace {
using boost::asio::ip::udp;
// Longer than the store's outages for single nodes usually last.
constexpr DurationMs kUnlistedTime{15'000};
// Taking over the registered nodes takes a step for each of them.
constexpr DurationMs kUpdateInterval{100};
constexpr DurationMs kMalformedLogInterval{1'000};
constexpr std::size_t kMaxDatagram = 65'536;
// In one turn of the event loop.
constexpr int kMaxDatagrams = 256;
// Begins a datagram of a node of an earlier release that the receiver passes on
// in its domain. No message begins so.
constexpr char kPassOn = '>';
// Begins a datagram that was passed on.
constexpr char kPassedOn = '<';
}  // namespace

Result<std::unique_ptr<PeerLink>> PeerLink::Create(NodeContext& context,
                                                   Handler handler) {
  std::unique_ptr<PeerLink> link(new PeerLink(context, std::move(handler)));
  const SocketAddress& address = context.settings.peer_address;
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(address.ip, error);
  if (!error) link->m_socket.open(udp::v4(), error);
  if (!error) link->m_socket.bind({ip, address.port}, error);
  if (!error) link->m_socket.non_blocking(true, error);
  if (error) {
    return Findings(Finding{Place{ToString(address), "", 0, 0},
                            "cannot receive datagrams: " + error.message(),
                            ""});
  }
  link->Receive();
  return link;
}

PeerLink::PeerLink(NodeContext& context, Handler handler)
    : m_context(context), m_handler(std::move(handler)), m_socket(context.io) {}

void PeerLink::Receive() {
  m_socket.async_wait(udp::socket::wait_read,
                      [this](boost::system::error_code error) {
                        if (error == boost::asio::error::operation_aborted) {
                          return;
                        }
                        Drain();
                        Receive();
                      });
}

void PeerLink::Drain() {
  std::array<char, kMaxDatagram> buffer;
  for (int i = 0; i < kMaxDatagrams; ++i) {
    boost::system::error_code error;
    udp::endpoint sender;
    const std::size_t size =
        m_socket.receive_from(boost::asio::buffer(buffer), sender, 0, error);
    // Would block, or an earlier datagram was not deliverable.
    if (error) return;
    OnDatagram({buffer.data(), size});
  }
}

void PeerLink::OnDatagram(std::string_view datagram) {
  const bool passed_on = datagram.starts_with(kPassedOn);
  const bool pass_on = datagram.starts_with(kPassOn);
  if (passed_on || pass_on) datagram.remove_prefix(1);
  if (pass_on) SendEncodedToDomain(kPassedOn + std::string(datagram));
  const auto message = DecodePeerMessage(datagram);
  if (message) {
    m_handler(*message, !passed_on);
  } else {
    NoteMalformed();
  }
}

void PeerLink::NoteMalformed() {
  m_context.metrics.peer_messages_dropped.Add();
  ++m_malformed;
  const TimeMs now = m_context.clock.Now();
  if (now - m_logged_malformed < kMalformedLogInterval) return;
  m_context.log.Event("peer_messages_dropped").Number("count", m_malformed);
  m_malformed = 0;
  m_logged_malformed = now;
}

void PeerLink::Send(const NodeId& node, const PeerMessage& message) {
  if (node == m_context.settings.node) {
    // The handler may be what sends.
    boost::asio::post(m_context.io,
                      [this, message] { m_handler(message, true); });
    return;
  }
  UpdateKnown();
  if (!m_known.contains(node) && m_context.view.nodes().contains(node)) {
    // Registered since the last update.
    m_updated = TimeMs();
    UpdateKnown();
  }
  const auto it = m_known.find(node);
  if (it == m_known.end()) return;
  SendTo(it->second.address, EncodePeerMessage(message));
}

void PeerLink::Broadcast(const PeerMessage& message) {
  UpdateKnown();
  const std::string datagram = EncodePeerMessage(message);
  for (const auto& [node, known] : m_known) {
    if (node != m_context.settings.node) SendTo(known.address, datagram);
  }
}

void PeerLink::SendToDomain(const PeerMessage& message) {
  SendEncodedToDomain(EncodePeerMessage(message));
}

void PeerLink::SendEncodedToDomain(const std::string& datagram) {
  UpdateKnown();
  for (const auto& [node, known] : m_known) {
    const bool other_domain = known.domain != m_context.settings.domain;
    if (other_domain || node == m_context.settings.node) continue;
    SendTo(known.address, datagram);
  }
}

void PeerLink::UpdateKnown() {
  const TimeMs now = m_context.clock.Now();
  if (now - m_updated < kUpdateInterval) return;
  m_updated = now;
  for (const auto& [node, record] : m_context.view.nodes()) {
    boost::system::error_code error;
    const auto ip =
        boost::asio::ip::make_address(record.peer_address.ip, error);
    if (error) continue;
    m_known[node] = {{ip, record.peer_address.port}, record.domain, now};
  }
  std::erase_if(m_known, [now](const auto& item) {
    return now - item.second.listed > kUnlistedTime;
  });
}

void PeerLink::SendTo(const udp::endpoint& address,
                      const std::string& datagram) {
  boost::system::error_code error;
  // A datagram that cannot be sent is a lost one: messages are repeated.
  m_socket.send_to(boost::asio::buffer(datagram), address, 0, error);
}

}  // namespace yuccamoor::fleet
