/// \file
/// \brief Datagrams to and from the other nodes.

#ifndef YUCCAMOOR_TRANSPORT_FLEET_PEER_LINK_H_
#define YUCCAMOOR_TRANSPORT_FLEET_PEER_LINK_H_

#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <memory>

#include "yuccamoor/protocol/fleet/peer_messages.h"
#include "yuccamoor/state/result.h"
#include "yuccamoor/transport/fleet/node_context.h"

namespace yuccamoor::fleet {

/// Sends and receives peer messages. A message to this node itself is handled
/// from the event loop. A node whose registration has gone still gets messages
/// for a while: it may live and be cut off from the store only.
class PeerLink {
 public:
  /// Called with a message, and whether it came from its sender directly. One
  /// that was passed on may have been held up on its way.
  using Handler = std::function<void(const PeerMessage&, bool direct)>;

  /// Binds the node's own address; the finding of a failure names it.
  static Result<std::unique_ptr<PeerLink>> Create(NodeContext& context,
                                                  Handler handler);

  /// Sends to one node; dropped if the node is not known.
  void Send(const NodeId& node, const PeerMessage& message);
  /// Sends to all other nodes. Only small fleets need it.
  void Broadcast(const PeerMessage& message);
  /// Sends to the other nodes of this node's failure domain.
  void SendToDomain(const PeerMessage& message);

 private:
  PeerLink(NodeContext& context, Handler handler);

  struct KnownNode {
    boost::asio::ip::udp::endpoint address;
    FailureDomainId domain;
    TimeMs listed;
  };

  void UpdateKnown();
  void NoteMalformed();
  void Receive();
  void Drain();
  void OnDatagram(std::string_view datagram);
  void SendEncodedToDomain(const std::string& datagram);
  void SendTo(const boost::asio::ip::udp::endpoint& address,
              const std::string& datagram);

  NodeContext& m_context;
  Handler m_handler;
  boost::asio::ip::udp::socket m_socket;
  // Nodes that are registered, or were until lately.
  std::map<NodeId, KnownNode> m_known;
  TimeMs m_updated;
  // Datagrams that were no message, since they were last logged.
  std::uint64_t m_malformed = 0;
  TimeMs m_logged_malformed;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_TRANSPORT_FLEET_PEER_LINK_H_
