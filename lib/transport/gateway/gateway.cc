/// \file
/// \brief Implementation of the gateway.

#include "yuccamoor/transport/gateway/gateway.h"

#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <thread>

#include "yuccamoor/protocol/json.h"
#include "yuccamoor/protocol/residency_codec.h"
#include "yuccamoor/transport/daemon/config_host.h"
#include "yuccamoor/transport/daemon/member_registry.h"
#include "yuccamoor/transport/gateway/api_response.h"
#include "yuccamoor/transport/gateway/cell_session.h"

namespace yuccamoor {
namespace {

constexpr const char* kChatTarget = "/v1/chat/completions";
constexpr DurationMs kSessionTickInterval(20);
constexpr std::size_t kMaxRequestIdBytes = 128;

/// Request ids appear in logs, headers and records: visible ASCII only.
bool IsValidRequestId(std::string_view id) {
  return !id.empty() && id.size() <= kMaxRequestIdBytes &&
         std::all_of(id.begin(), id.end(), [](unsigned char c) {
           return c > ' ' && c < 0x7F && c != '"' && c != '\\';
         });
}

}  // namespace

Result<std::unique_ptr<Gateway>> Gateway::Create(GatewaySettings settings) {
  auto daemon = Daemon::Create(settings.daemon, MemberRole::kGateway);
  if (!daemon) return daemon.error();
  std::unique_ptr<Gateway> gateway(
      new Gateway(std::move(settings), std::move(daemon).value()));
  const Findings findings = gateway->Listen();
  if (!findings.empty()) return findings;
  gateway->AddPeerMethods();
  gateway->AddOperatorPaths();
  return gateway;
}

Gateway::Gateway(GatewaySettings settings, std::unique_ptr<Daemon> daemon)
    : m_settings(std::move(settings)),
      m_daemon(std::move(daemon)),
      m_request_salt(std::random_device()()) {
  ChatOptions options;
  options.default_deadline = m_settings.default_deadline;
  options.max_requests = m_settings.max_requests;
  m_chat = std::make_unique<ChatService>(
      ChatServices{m_daemon->pool(), m_daemon->client(), m_daemon->clock(),
                   *this},
      options);
}

Gateway::~Gateway() { m_daemon->pool().Stop(); }

Findings Gateway::Listen() {
  HttpServerOptions options;
  options.address = m_settings.listen.ip;
  options.port = m_settings.listen.port;
  options.max_body_bytes = m_settings.max_body_bytes;
  auto server = HttpServer::Create(
      m_daemon->pool(), std::move(options),
      [this](HttpExchange& exchange) { return Handle(exchange); });
  if (!server) return server.error();
  m_server = std::move(server).value();
  return {};
}

void Gateway::AddPeerMethods() {
  m_daemon->AddPeerMethod(
      "residency.update", [this](const std::string& parameters) {
        const auto update = DecodeResidencyUpdate(parameters);
        if (!update) throw JsonRpcError(update.error().ToString());
        const auto session = Session(update.value().cell);
        if (session) session->OnUpdate(update.value());
        return std::string("{}");
      });
}

void Gateway::AddOperatorPaths() {
  m_daemon->AddOperatorPath("/admin/status", [this](const HttpRequest&) {
    Json cells = Json::object();
    {
      const std::shared_lock lock(m_sessions_mutex);
      for (const auto& [cell, session] : m_sessions) {
        cells[cell.str()] = {{"waiting", session->WaiterCount()},
                             {"grants", session->GrantCount()}};
      }
    }
    const auto config = Config();
    return JsonResponse(
        200, Json{{"node", m_settings.daemon.node},
                  {"role", "gateway"},
                  {"ready", m_daemon->Ready()},
                  {"draining", m_daemon->draining()},
                  {"revision", config ? config->revision.value() : 0},
                  {"active_requests", m_server->active_exchanges()},
                  {"cells", std::move(cells)}}
                 .dump());
  });
}

std::shared_ptr<const ConfigSnapshot> Gateway::Config() const {
  return m_daemon->config().Current();
}

std::shared_ptr<CellSession> Gateway::Session(const CellId& cell) const {
  const std::shared_lock lock(m_sessions_mutex);
  const auto it = m_sessions.find(cell);
  return it == m_sessions.end() ? nullptr : it->second;
}

void Gateway::Start() {
  m_daemon->Start();
  m_daemon->pool().Every(kSessionTickInterval, [this] { Tick(); });
}

void Gateway::Tick() {
  OpenSessions();
  const std::shared_lock lock(m_sessions_mutex);
  for (const auto& [cell, session] : m_sessions) session->Tick();
}

void Gateway::OpenSessions() {
  const auto config = Config();
  // An incarnation is final only once the registration has been seen.
  if (!config || !m_daemon->members().Known()) return;
  for (const auto& [id, cell] : config->cells) {
    if (Session(id)) continue;
    ResidencyClientOptions options;
    options.cell = id;
    options.gateway = m_settings.daemon.node;
    options.incarnation = m_daemon->members().incarnation();
    auto session = CellSession::Create(
        CellSessionServices{m_daemon->pool(), m_daemon->peers(),
                            m_daemon->key_value(), m_daemon->clock()},
        std::move(options), m_daemon->peer_address());
    if (!session) {
      LOG(ERROR) << "event=session_failed cell=" << id << " findings=\""
                 << session.error().ToString() << '"';
      continue;
    }
    const std::unique_lock lock(m_sessions_mutex);
    m_sessions.emplace(id, std::move(session).value());
  }
}

RequestId Gateway::NewRequestId(const HttpRequest& request) {
  const std::string_view given = request.headers.Find(kRequestIdHeader);
  if (IsValidRequestId(given)) return RequestId(std::string(given));
  return RequestId(m_settings.daemon.node.str() + "-" +
                   std::to_string(m_request_salt) + "-" +
                   std::to_string(++m_request_counter));
}

Awaitable<void> Gateway::Handle(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  const bool chat = request.target == kChatTarget;
  if (chat && request.method == "POST") {
    co_await m_chat->Handle(exchange, NewRequestId(request));
    co_return;
  }
  ApiError error;
  error.status = chat ? 405 : 404;
  error.type = chat ? "method_not_allowed" : "not_found";
  error.message = "no such resource: " + request.method + " " + request.target;
  co_await SendError(exchange, std::move(error));
}

bool Gateway::Shutdown() {
  constexpr auto kPollInterval = std::chrono::milliseconds(20);
  m_daemon->SetDraining();
  m_server->Drain();
  const TimeMs deadline =
      m_daemon->clock().Now() + m_settings.daemon.shutdown_grace;
  while (m_server->active_exchanges() > 0 &&
         m_daemon->clock().Now() < deadline) {
    std::this_thread::sleep_for(kPollInterval);
  }
  const bool whole = m_server->active_exchanges() == 0;
  m_daemon->Stop();
  return whole;
}

}  // namespace yuccamoor
