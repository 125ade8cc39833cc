/// \file
/// \brief Takes clients' requests and serves each by an exchange.

#ifndef YUCCAMOOR_TRANSPORT_FLEET_FRONT_SERVER_H_
#define YUCCAMOOR_TRANSPORT_FLEET_FRONT_SERVER_H_

#include <list>
#include <memory>

#include "yuccamoor/coordination/fleet/resource_shares.h"
#include "yuccamoor/transport/fleet/client_connections.h"
#include "yuccamoor/transport/fleet/exchange.h"
#include "yuccamoor/transport/fleet/listener.h"

namespace yuccamoor::fleet {

/// The clients' side of a node.
class FrontServer final : public FrontHandler {
 public:
  static Result<std::unique_ptr<FrontServer>> Create(
      NodeContext& node, Dispatcher& dispatcher, AdmissionClient& admissions,
      CrashGuard& crashes, PermitClient& permits, TenantQuotas& quotas,
      RetryBudgets& retries);

  void OnTick(TimeMs now);

  /// Ends connections after their current response. Streams that come after
  /// \p streams_until are refused, and so are requests from then on that may
  /// last longer than the node, which ends at \p end.
  void BeginShutdown(TimeMs streams_until, TimeMs end);
  /// Ends the requests under way, each with its final answer.
  void EndRequests();
  /// Whether no request is under way and clients have all of their answers.
  bool IsQuiet() const;
  /// Leaves what clients have not taken to the operating system, as the process
  /// may end at any time from now on.
  void HandOver();
  std::size_t connections() const { return m_connections.size(); }
  std::size_t in_flight() const { return m_exchanges.size(); }
  /// The port that clients reach.
  std::uint16_t port() const { return m_listener->port(); }

  const RequestLimits& limits() const override;
  void OnRequest(std::shared_ptr<FrontConnection> connection,
                 FrontRequest request) override;
  void OnClientGone(FrontConnection& connection) override;
  bool OnPhase(FrontConnection& connection, ConnectionPhase phase,
               std::uint64_t moved) override;
  void OnGivenUp(FrontConnection& connection) override;
  void OnClosed(FrontConnection& connection) override;
  std::string RejectBadRequest(int status, const HttpHead& head) override;

 private:
  FrontServer(NodeContext& node, Dispatcher& dispatcher,
              AdmissionClient& admissions, CrashGuard& crashes,
              PermitClient& permits, TenantQuotas& quotas,
              RetryBudgets& retries, const ResourceShares& shares);

  /// Whether the node may end before the request.
  bool MayOutlastNode(const FrontRequest& request,
                      const RouteSpec& route) const;
  /// Whether what is missing in the view is known to be missing in the
  /// configuration in force.
  bool IsCurrent(TimeMs now) const;
  void Reply(FrontConnection& connection, const FrontRequest& request,
             int status, const char* reason,
             std::optional<DurationMs> retry_after);

  NodeContext& m_node;
  IdleConnections m_idle;
  bool m_closing = false;
  TimeMs m_streams_until = TimeMs::Never();
  TimeMs m_end = TimeMs::Never();
  ExchangeContext m_context;
  std::unique_ptr<Listener> m_listener;
  ClientConnections m_connections;
  std::list<std::unique_ptr<Exchange>> m_exchanges;
  TimeMs m_expired;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_TRANSPORT_FLEET_FRONT_SERVER_H_
