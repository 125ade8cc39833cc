#include "yuccamoor/transport/fleet/client_connections.h"

#include <utility>

namespace yuccamoor::fleet {

namespace {
constexpr DurationMs kCheckInterval{250};
}  // namespace

ClientConnections::ClientConnections(NodeContext& node, FrontHandler& handler,
                                     std::string_view address,
                                     const ConnectionBudgetOptions& options)
    : m_node(node), m_handler(handler), m_address(address), m_budget(options) {}

void ClientConnections::OnAccepted(boost::asio::ip::tcp::socket socket) {
  const ConnectionId id{++m_last_id};
  const TimeMs now = m_node.clock.Now();
  auto connection = std::make_shared<FrontConnection>(
      std::move(socket), m_handler, m_node.clock, m_node.kept, id);
  m_connections[id] = connection;
  m_budget.Add(id, now);
  MakeRoom(now);
  connection->Start();
}

bool ClientConnections::OnPhase(const FrontConnection& connection,
                                ConnectionPhase phase, std::uint64_t moved) {
  const TimeMs now = m_node.clock.Now();
  m_budget.Set(connection.id(), phase, moved, now);
  if (phase == ConnectionPhase::kServed) MakeRoom(now);
  return m_budget.IsWithin();
}

void ClientConnections::MakeRoom(TimeMs now) {
  while (const auto excess = m_budget.TakeExcess(now)) {
    const auto it = m_connections.find(*excess);
    const auto connection =
        it == m_connections.end() ? nullptr : it->second.lock();
    m_node.metrics.closed_for_descriptors.Add();
    m_node.log.Event("connection_closed_for_descriptors")
        .Text("address", m_address)
        .Number("connections", m_connections.size());
    if (connection) connection->MakeRoom();
  }
}

void ClientConnections::OnGivenUp() {
  m_node.metrics.closed_for_memory.Add();
  m_node.log.Event("connection_closed_for_memory")
      .Text("address", m_address)
      .Number("kept_bytes", m_node.kept.bytes())
      .Number("connections", m_connections.size());
}

void ClientConnections::OnClosed(const FrontConnection& connection) {
  m_budget.Remove(connection.id());
  m_connections.erase(connection.id());
}

std::vector<std::shared_ptr<FrontConnection>> ClientConnections::Open() const {
  std::vector<std::shared_ptr<FrontConnection>> open;
  for (const auto& [id, weak] : m_connections) {
    if (auto connection = weak.lock()) open.push_back(std::move(connection));
  }
  return open;
}

void ClientConnections::OnTick(TimeMs now) {
  // Few connections cannot leave more unread than the node may keep.
  const bool counts_unread =
      m_connections.size() * FrontConnection::kMaxUnreadBytes >
      m_node.kept.max_bytes();
  const bool checks = now - m_checked >= kCheckInterval;
  if (!counts_unread && !checks) return;
  if (checks) m_checked = now;
  for (const auto& connection : Open()) {
    if (counts_unread) connection->NoteUnread();
    if (checks) connection->CheckTimeouts(now);
  }
  m_node.kept.EndGivenUp();
}

}  // namespace yuccamoor::fleet
