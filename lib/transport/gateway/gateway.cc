/// \file
/// \brief Implementation of the gateway.

#include "yuccamoor/transport/gateway/gateway.h"

#include <algorithm>
#include <random>

#include "yuccamoor/protocol/json.h"
#include "yuccamoor/protocol/request/leaving_gossip_codec.h"
#include "yuccamoor/protocol/residency_codec.h"
#include "yuccamoor/transport/daemon/config_host.h"
#include "yuccamoor/transport/daemon/member_registry.h"
#include "yuccamoor/transport/gateway/api_response.h"
#include "yuccamoor/transport/gateway/cell_session.h"
#include "yuccamoor/transport/gateway/service_proxy.h"
#include "yuccamoor/transport/gateway/shard_host.h"
#include "yuccamoor/transport/observability/log_event.h"

namespace yuccamoor {
namespace {

constexpr const char* kChatTarget = "/v1/chat/completions";
constexpr DurationMs kSessionTickInterval(20);
constexpr DurationMs kShardTickInterval(5);
constexpr DurationMs kMemberTickInterval(500);
constexpr DurationMs kGossipTimeout(500);
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
  Findings findings = gateway->Listen();
  findings.Append(gateway->OpenShards());
  if (!findings.empty()) return findings;
  gateway->AddPeerMethods();
  gateway->AddOperatorPaths();
  return gateway;
}

Gateway::Gateway(GatewaySettings settings, std::unique_ptr<Daemon> daemon)
    : m_settings(std::move(settings)),
      m_daemon(std::move(daemon)),
      m_random_salt(std::random_device()()) {
  ChatOptions options;
  options.default_deadline = m_settings.default_deadline;
  options.max_requests = m_settings.max_requests;
  m_chat = std::make_unique<ChatService>(
      ChatServices{m_daemon->pool(), m_daemon->client(), m_daemon->clock(),
                   *this, m_daemon->telemetry()},
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

Findings Gateway::OpenShards() {
  ShardOwner owner;
  owner.node = m_settings.daemon.node;
  owner.incarnation = m_daemon->members().incarnation();
  owner.salt = m_random_salt;
  auto shards =
      ShardHost::Create(m_daemon->key_value(), m_daemon->clock(), owner);
  if (!shards) return shards.error();
  m_shards = std::move(shards).value();
  m_proxy = std::make_unique<ServiceProxy>(
      ServiceProxyServices{m_daemon->client(), m_daemon->clock(), m_shards,
                           m_daemon->telemetry()},
      m_settings.daemon.node, m_random_salt);
  return {};
}

void Gateway::AddPeerMethods() {
  m_daemon->SetPeerHandler(
      [this](HttpExchange& exchange) { return HandleForwarded(exchange); });
  m_daemon->AddPeerMethod(
      std::string(kLeavingGossipMethod), [this](const std::string& parameters) {
        const auto gossip = DecodeMessage<LeavingGossip>(parameters, "gossip");
        if (!gossip) throw JsonRpcError(gossip.error().ToString());
        m_proxy->OnGossip(gossip.value());
        return std::string("{}");
      });
  m_daemon->AddPeerMethod(
      "residency.update", [this](const std::string& parameters) {
        const auto update = DecodeResidencyUpdate(parameters);
        if (!update) throw JsonRpcError(update.error().ToString());
        const auto session = Session(update.value().cell);
        if (session) session->OnUpdate(update.value());
        return std::string("{}");
      });
}

bool Gateway::HasSessions() const {
  const auto config = Config();
  if (!config) return false;
  const std::shared_lock lock(m_sessions_mutex);
  return std::all_of(
      config->cells.begin(), config->cells.end(),
      [this](const auto& cell) { return m_sessions.contains(cell.first); });
}

void Gateway::AddOperatorPaths() {
  m_daemon->SetReadyCheck([this] { return HasSessions(); });
  m_daemon->AddOperatorPath("/admin/drain", [this](const HttpRequest& request) {
    if (request.method != "POST") return MethodNotAllowed();
    m_daemon->SetDraining();
    return JsonResponse(200, R"({"draining":true})");
  });
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
  m_daemon->pool().Every(kShardTickInterval, [this] { m_shards->Tick(); });
  m_daemon->pool().Every(kMemberTickInterval, [this] { RefreshMembers(); });
}

void Gateway::Tick() {
  OpenSessions();
  const std::shared_lock lock(m_sessions_mutex);
  for (const auto& [cell, session] : m_sessions) session->Tick();
}

void Gateway::RefreshMembers() {
  m_proxy->Tick();
  m_chat->Tick();
  MemberRegistry& members = m_daemon->members();
  if (!members.Known()) return;
  m_proxy->OnVmList(members.Vms());
  const std::vector<Member> gateways = members.Live(MemberRole::kGateway);
  std::map<NodeId, std::string> addresses;
  for (const Member& member : gateways) addresses[member.id] = member.address;
  m_proxy->OnGateways(std::move(addresses));
  NoteEndedGateways(gateways);
  SpreadGossip();
}

void Gateway::NoteEndedGateways(const std::vector<Member>& gateways) {
  std::map<NodeId, Incarnation> now;
  for (const Member& member : gateways) now[member.id] = member.incarnation;
  for (const auto& [id, incarnation] : m_known_gateways) {
    const auto it = now.find(id);
    // A later life of the same node means that the earlier one has ended.
    if (it == now.end() || it->second > incarnation) {
      m_shards->OnOwnerGone(id, incarnation);
    }
  }
  m_known_gateways = std::move(now);
}

void Gateway::SpreadGossip() {
  const auto gossip = m_proxy->TakeGossip();
  if (!gossip) return;
  const std::string text = Json(*gossip).dump();
  for (const Member& member : m_daemon->members().Live(MemberRole::kGateway)) {
    if (member.id == m_settings.daemon.node) continue;
    m_daemon->peers().Call(member.address, std::string(kLeavingGossipMethod),
                           text, kGossipTimeout,
                           [](const std::optional<std::string>&) {});
  }
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
      LogEvent("session_failed", LogLevel::kError)
          .Field("cell", id)
          .Field("findings", session.error().ToString());
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
                   std::to_string(m_random_salt) + "-" +
                   std::to_string(++m_request_counter));
}

Awaitable<void> Gateway::Handle(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  const bool chat = request.target == kChatTarget;
  if (chat && request.method == "POST") {
    co_await m_chat->Handle(exchange, NewRequestId(request));
    co_return;
  }
  if (request.target.starts_with(kServicesPrefix)) {
    if (auto config = Config()) m_proxy->OnConfig(std::move(config));
    co_await m_proxy->Handle(exchange, NewRequestId(request));
    co_return;
  }
  ApiError error = MakeApiError(
      chat ? 405 : 404, chat ? "method_not_allowed" : "not_found",
      "no such resource: " + request.method + " " + request.target);
  co_await SendError(exchange, std::move(error));
}

}  // namespace yuccamoor
