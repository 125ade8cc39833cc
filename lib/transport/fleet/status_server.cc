#include "yuccamoor/transport/fleet/status_server.h"

#include <utility>

namespace yuccamoor::fleet {

namespace {

std::string Encode(const StatusReply& reply) {
  std::string out = "HTTP/1.1 " + std::to_string(reply.status) + " " +
                    std::string(ReasonPhrase(reply.status)) + "\r\n";
  AppendField(out, "Content-Type", "text/plain; version=0.0.4");
  AppendField(out, "Content-Length", std::to_string(reply.text.size()));
  return out.append("\r\n").append(reply.text);
}

}  // namespace

Result<std::unique_ptr<StatusServer>> StatusServer::Create(
    NodeContext& node, const SocketAddress& address, Answer answer) {
  std::unique_ptr<StatusServer> server(
      new StatusServer(node, std::move(answer)));
  auto listener = Listener::Create(
      node.io, address,
      [self = server.get()](boost::asio::ip::tcp::socket socket) {
        std::make_shared<FrontConnection>(std::move(socket), *self,
                                          self->m_node.clock, self->m_node.kept)
            ->Start();
      });
  if (!listener) return listener.error();
  server->m_listener = std::move(listener).value();
  return server;
}

StatusServer::StatusServer(NodeContext& node, Answer answer)
    : m_node(node), m_answer(std::move(answer)) {}

void StatusServer::OnRequest(std::shared_ptr<FrontConnection> connection,
                             FrontRequest request) {
  connection->Send(Encode(m_answer(request.head.target)));
  connection->Finish(SameHeaderName(request.head.Find("connection"), "close"));
}

void StatusServer::OnClientGone(FrontConnection& /*connection*/) {}

void StatusServer::OnClosed(FrontConnection& /*connection*/) {}

std::string StatusServer::RejectBadRequest(int status,
                                           const HttpHead& /*head*/) {
  return Encode({status, ""});
}

}  // namespace yuccamoor::fleet
