/// \file
/// \brief Small HTTP answers for the balancer and for metrics.

#ifndef YUCCAMOOR_TRANSPORT_FLEET_STATUS_SERVER_H_
#define YUCCAMOOR_TRANSPORT_FLEET_STATUS_SERVER_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "yuccamoor/transport/fleet/client_connections.h"
#include "yuccamoor/transport/fleet/listener.h"
#include "yuccamoor/transport/fleet/node_context.h"

namespace yuccamoor::fleet {

/// A status code with a plain text.
struct StatusReply {
  int status = 200;
  std::string text;
};

/// Answers every GET on one address by a function of the path.
class StatusServer final : public FrontHandler {
 public:
  using Answer = std::function<StatusReply(const std::string& path)>;

  /// \p name is that of the address in the log.
  static Result<std::unique_ptr<StatusServer>> Create(
      NodeContext& node, const SocketAddress& address, std::string_view name,
      Answer answer);

  void OnTick(TimeMs now) { m_connections.OnTick(now); }

  const RequestLimits& limits() const override { return m_limits; }
  void OnRequest(std::shared_ptr<FrontConnection> connection,
                 FrontRequest request) override;
  void OnClientGone(FrontConnection& connection) override;
  bool OnPhase(FrontConnection& connection, ConnectionPhase phase,
               std::uint64_t moved) override;
  void OnGivenUp(FrontConnection& connection) override;
  void OnClosed(FrontConnection& connection) override;
  std::string RejectBadRequest(int status, const HttpHead& head) override;

 private:
  StatusServer(NodeContext& node, std::string_view name, Answer answer);

  Answer m_answer;
  RequestLimits m_limits;
  ClientConnections m_connections;
  std::unique_ptr<Listener> m_listener;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_TRANSPORT_FLEET_STATUS_SERVER_H_
