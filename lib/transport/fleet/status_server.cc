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
    boost::asio::io_context& io, const Clock& clock,
    const SocketAddress& address, Answer answer) {
  std::unique_ptr<StatusServer> server(
      new StatusServer(clock, std::move(answer)));
  auto listener = Listener::Create(
      io, address, [self = server.get()](boost::asio::ip::tcp::socket socket) {
        std::make_shared<FrontConnection>(std::move(socket), *self,
                                          self->m_clock)
            ->Start();
      });
  if (!listener) return listener.error();
  server->m_listener = std::move(listener).value();
  return server;
}

StatusServer::StatusServer(const Clock& clock, Answer answer)
    : m_clock(clock), m_answer(std::move(answer)) {}

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
