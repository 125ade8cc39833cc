#include "yuccamoor/transport/fleet/status_server.h"

#include <cstddef>
#include <utility>

#include "yuccamoor/coordination/fleet/resource_shares.h"

namespace yuccamoor::fleet {

namespace {

// A question for the status is short.
constexpr std::size_t kMaxHeaderBytes = 16'384;
constexpr std::size_t kMaxBodyBytes = 4'096;

std::string Encode(const StatusReply& reply) {
  std::string out = "HTTP/1.1 " + std::to_string(reply.status) + " " +
                    std::string(ReasonPhrase(reply.status)) + "\r\n";
  AppendField(out, "Content-Type", "text/plain; version=0.0.4");
  AppendField(out, "Content-Length", std::to_string(reply.text.size()));
  return out.append("\r\n").append(reply.text);
}

}  // namespace

Result<std::unique_ptr<StatusServer>> StatusServer::Create(
    NodeContext& node, const SocketAddress& address, std::string_view name,
    Answer answer) {
  std::unique_ptr<StatusServer> server(
      new StatusServer(node, name, std::move(answer)));
  auto listener = Listener::Create(
      node.io, address,
      [self = server.get()](boost::asio::ip::tcp::socket socket) {
        self->m_connections.OnAccepted(std::move(socket));
      });
  if (!listener) return listener.error();
  server->m_listener = std::move(listener).value();
  return server;
}

StatusServer::StatusServer(NodeContext& node, std::string_view name,
                           Answer answer)
    : m_answer(std::move(answer)),
      m_connections(node, *this, name,
                    ResourceShares::For(node.settings).status) {
  m_limits.max_header_bytes = kMaxHeaderBytes;
  m_limits.max_body_bytes = kMaxBodyBytes;
}

void StatusServer::OnRequest(std::shared_ptr<FrontConnection> connection,
                             FrontRequest request) {
  connection->Send(Encode(m_answer(request.head.target)));
  connection->Finish(SameHeaderName(request.head.Find("connection"), "close"));
}

void StatusServer::OnClientGone(FrontConnection& /*connection*/) {}

bool StatusServer::OnPhase(FrontConnection& connection, ConnectionPhase phase,
                           std::uint64_t moved) {
  return m_connections.OnPhase(connection, phase, moved);
}

void StatusServer::OnGivenUp(FrontConnection& /*connection*/) {
  m_connections.OnGivenUp();
}

void StatusServer::OnClosed(FrontConnection& connection) {
  m_connections.OnClosed(connection);
}

std::string StatusServer::RejectBadRequest(int status,
                                           const HttpHead& /*head*/) {
  return Encode({status, ""});
}

}  // namespace yuccamoor::fleet
