/// \file
/// \brief The connections that clients have opened to one address.

#ifndef YUCCAMOOR_TRANSPORT_FLEET_CLIENT_CONNECTIONS_H_
#define YUCCAMOOR_TRANSPORT_FLEET_CLIENT_CONNECTIONS_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include "yuccamoor/coordination/fleet/connection_budget.h"
#include "yuccamoor/transport/fleet/front_connection.h"
#include "yuccamoor/transport/fleet/node_context.h"

namespace yuccamoor::fleet {

/// Opens connections, and closes them when their budget or a time limit says
/// so. The owner passes on what its connections report.
class ClientConnections {
 public:
  /// \p address names the listening address in the log.
  ClientConnections(NodeContext& node, FrontHandler& handler,
                    std::string_view address,
                    const ConnectionBudgetOptions& options);

  void OnAccepted(boost::asio::ip::tcp::socket socket);
  /// Returns whether there are descriptors for the connection in this phase.
  bool OnPhase(const FrontConnection& connection, ConnectionPhase phase,
               std::uint64_t moved);
  void OnGivenUp();
  void OnClosed(const FrontConnection& connection);
  /// Ends connections that wait too long for their clients.
  void OnTick(TimeMs now);

  std::size_t size() const { return m_connections.size(); }
  /// The connections that are open now.
  std::vector<std::shared_ptr<FrontConnection>> Open() const;

 private:
  /// Closes others until the budget is kept.
  void MakeRoom(TimeMs now);

  NodeContext& m_node;
  FrontHandler& m_handler;
  std::string_view m_address;
  ConnectionBudget m_budget;
  std::map<ConnectionId, std::weak_ptr<FrontConnection>> m_connections;
  std::uint64_t m_last_id = 0;
  TimeMs m_checked;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_TRANSPORT_FLEET_CLIENT_CONNECTIONS_H_
