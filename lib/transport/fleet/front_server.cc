#include "yuccamoor/transport/fleet/front_server.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "yuccamoor/coordination/fleet/caller_identity.h"

namespace yuccamoor::fleet {

namespace {

// A node without a configuration will have one soon.
constexpr DurationMs kNoConfigRetryAfter{300};
// A node that may have missed a configuration will soon have read it; other
// nodes may know it.
constexpr DurationMs kOldConfigRetryAfter{300};
constexpr DurationMs kExpireInterval{250};

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

}  // namespace

Result<std::unique_ptr<FrontServer>> FrontServer::Create(
    NodeContext& node, Dispatcher& dispatcher, AdmissionClient& admissions,
    CrashGuard& crashes, PermitClient& permits, TenantQuotas& quotas,
    RetryBudgets& retries) {
  const ResourceShares shares = ResourceShares::For(node.settings);
  std::unique_ptr<FrontServer> server(new FrontServer(
      node, dispatcher, admissions, crashes, permits, quotas, retries, shares));
  auto listener =
      Listener::Create(node.io, node.settings.client_address,
                       [self = server.get()](auto socket) {
                         self->m_connections.OnAccepted(std::move(socket));
                       });
  if (!listener) return listener.error();
  server->m_listener = std::move(listener).value();
  return server;
}

FrontServer::FrontServer(NodeContext& node, Dispatcher& dispatcher,
                         AdmissionClient& admissions, CrashGuard& crashes,
                         PermitClient& permits, TenantQuotas& quotas,
                         RetryBudgets& retries, const ResourceShares& shares)
    : m_node(node),
      m_idle(shares.max_idle_calls),
      m_context{node,   dispatcher, admissions, crashes,  permits,
                quotas, retries,    m_idle,     m_closing},
      m_connections(node, *this, "clients", shares.clients) {}

const RequestLimits& FrontServer::limits() const {
  static const RequestLimits defaults;
  const auto& routes = m_node.view.routes();
  return routes ? routes->config().limits : defaults;
}

void FrontServer::OnRequest(std::shared_ptr<FrontConnection> connection,
                            FrontRequest request) {
  const auto routes = m_node.view.routes();
  if (!routes) {
    Reply(*connection, request, 503, "no configuration", kNoConfigRetryAfter);
    return;
  }
  const bool is_current = IsCurrent(request.received);
  const RouteSpec* route =
      routes->Find(request.head.Find("host"), PathOf(request.head.target));
  if (!route && is_current) {
    Reply(*connection, request, 404, "no route", std::nullopt);
    return;
  }
  if (!route) {
    Reply(*connection, request, 503, "perhaps no route", kOldConfigRetryAfter);
    return;
  }
  const CallerIdentity caller = IdentifyCaller(
      *routes, *route, m_node.dialect.DecodeRequest(request.head).tenant_key,
      is_current);
  if (caller.verdict == CallerVerdict::kUnknownKey) {
    Reply(*connection, request, kUnauthorized, "unknown key", std::nullopt);
    return;
  }
  if (caller.verdict == CallerVerdict::kPerhapsUnknownKey) {
    Reply(*connection, request, 503, "perhaps unknown key",
          kOldConfigRetryAfter);
    return;
  }
  if (MayOutlastNode(request, *route)) {
    Reply(*connection, request, 503, "shutting down", kShutdownRetryAfter);
    return;
  }
  m_exchanges.push_back(std::make_unique<Exchange>(
      m_context, std::move(connection), std::move(request), routes, *route,
      caller.tenant));
  m_exchanges.back()->Start();
}

bool FrontServer::IsCurrent(TimeMs now) const {
  const auto& current_at = m_node.view.current_at();
  return current_at &&
         now - *current_at < m_node.settings.max_propagation_delay;
}

void FrontServer::Reply(FrontConnection& connection,
                        const FrontRequest& request, int status,
                        const char* reason,
                        std::optional<DurationMs> retry_after) {
  OwnReply reply;
  reply.status = status;
  reply.attempt = m_node.dialect.DecodeRequest(request.head).attempt;
  reply.retry_after = retry_after;
  reply.close =
      m_closing || SameHeaderName(request.head.Find("connection"), "close");
  const auto& routes = m_node.view.routes();
  m_node.log.Event("request_refused")
      .Text("request", reply.attempt.str())
      .Number("status", status)
      .Text("reason", reason)
      .Text("host", request.head.Find("host"))
      .Number("config", routes ? routes->config().version.value() : 0);
  m_node.metrics.refused.Add();
  connection.Send(m_node.dialect.EncodeOwnReply(reply));
  connection.Finish(reply.close);
}

void FrontServer::OnClientGone(FrontConnection& connection) {
  for (const auto& exchange : m_exchanges) {
    if (exchange->client() == &connection && !exchange->ended()) {
      exchange->OnClientGone();
    }
  }
}

bool FrontServer::OnPhase(FrontConnection& connection, ConnectionPhase phase,
                          std::uint64_t moved) {
  return m_connections.OnPhase(connection, phase, moved);
}

void FrontServer::OnGivenUp(FrontConnection& /*connection*/) {
  m_connections.OnGivenUp();
}

void FrontServer::OnClosed(FrontConnection& connection) {
  m_connections.OnClosed(connection);
}

std::string FrontServer::RejectBadRequest(int status, const HttpHead& head) {
  OwnReply reply;
  reply.status = status;
  reply.attempt = m_node.dialect.DecodeRequest(head).attempt;
  reply.close = true;
  m_node.log.Event("request_rejected")
      .Text("request", reply.attempt.str())
      .Number("status", status);
  m_node.metrics.refused.Add();
  return m_node.dialect.EncodeOwnReply(reply);
}

void FrontServer::OnTick(TimeMs now) {
  // Exchanges that begin during the loop are appended and seen as well.
  for (const auto& exchange : m_exchanges) exchange->OnTick(now);
  m_exchanges.remove_if([](const auto& exchange) { return exchange->ended(); });
  m_connections.OnTick(now);
  if (now - m_expired < kExpireInterval) return;
  m_expired = now;
  m_idle.Expire(now);
}

bool FrontServer::IsQuiet() const {
  if (!m_exchanges.empty()) return false;
  const auto open = m_connections.Open();
  return std::all_of(open.begin(), open.end(), [](const auto& connection) {
    return connection->UndeliveredBytes() == 0;
  });
}

void FrontServer::HandOver() {
  for (const auto& connection : m_connections.Open()) connection->HandOver();
}

void FrontServer::BeginShutdown(TimeMs streams_until, TimeMs end) {
  m_closing = true;
  m_streams_until = streams_until;
  m_end = end;
}

bool FrontServer::MayOutlastNode(const FrontRequest& request,
                                 const RouteSpec& route) const {
  if (request.received < m_streams_until) return false;
  if (route.kind == RequestKind::kStream) return true;
  const RequestMeta meta = m_node.dialect.DecodeRequest(request.head);
  return Exchange::DeadlineOf(request, meta, route) > m_end;
}

void FrontServer::EndRequests() {
  for (const auto& exchange : m_exchanges) exchange->OnShutdown();
}

}  // namespace yuccamoor::fleet
