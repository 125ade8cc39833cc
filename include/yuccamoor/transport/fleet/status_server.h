/// \file
/// \brief Small HTTP answers for the balancer and for metrics.

#ifndef YUCCAMOOR_TRANSPORT_FLEET_STATUS_SERVER_H_
#define YUCCAMOOR_TRANSPORT_FLEET_STATUS_SERVER_H_

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "yuccamoor/transport/fleet/front_connection.h"
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

  static Result<std::unique_ptr<StatusServer>> Create(
      NodeContext& node, const SocketAddress& address, Answer answer);

  const RequestLimits& limits() const override { return m_limits; }
  void OnRequest(std::shared_ptr<FrontConnection> connection,
                 FrontRequest request) override;
  void OnClientGone(FrontConnection& connection) override;
  void OnClosed(FrontConnection& connection) override;
  std::string RejectBadRequest(int status, const HttpHead& head) override;

 private:
  StatusServer(NodeContext& node, Answer answer);

  NodeContext& m_node;
  Answer m_answer;
  RequestLimits m_limits;
  std::unique_ptr<Listener> m_listener;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_TRANSPORT_FLEET_STATUS_SERVER_H_
