/// \file
/// \brief Implementation of the daemons' common part.

#include "yuccamoor/transport/daemon/daemon.h"

#include <boost/asio/signal_set.hpp>
#include <cassert>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <random>

#include "yuccamoor/transport/daemon/config_host.h"
#include "yuccamoor/transport/daemon/member_registry.h"
#include "yuccamoor/transport/daemon/telemetry.h"
#include "yuccamoor/transport/http_client.h"
#include "yuccamoor/transport/observability/collector_span_exporter.h"
#include "yuccamoor/transport/observability/log_event.h"
#include "yuccamoor/transport/platform/http_key_value_service.h"
#include "yuccamoor/transport/platform/http_vm_list.h"

namespace yuccamoor {
namespace {

constexpr DurationMs kMemberInterval(1'000);
constexpr DurationMs kConfigInterval(100);
constexpr const char* kRequestsPath = "/admin/requests/";

HttpServerOptions ToOptions(const ListenAddress& listen) {
  HttpServerOptions options;
  options.address = listen.ip;
  options.port = listen.port;
  return options;
}

/// A first guess of this life's incarnation; registration raises it above any
/// earlier one.
Incarnation FirstIncarnation() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return Incarnation(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
          .count()));
}

MemberReplicaOptions ReplicaOptionsOf(MemberRole role) {
  MemberReplicaOptions options;
  options.seed = std::random_device()();
  // A candidate takes over when the listed successors are gone from its list,
  // which must then be hardly older than what it saw of the leader's record.
  if (role == MemberRole::kScheduler) options.read_bytes_per_second.reset();
  return options;
}

std::string PathOf(const std::string& target) {
  return target.substr(0, target.find('?'));
}

}  // namespace

Result<std::unique_ptr<Daemon>> Daemon::Create(DaemonSettings settings,
                                               MemberRole role) {
  std::unique_ptr<Daemon> daemon(new Daemon(std::move(settings)));
  Findings findings = daemon->Listen();
  findings.Append(daemon->OpenTelemetry(role));
  if (!findings.empty()) return findings;
  daemon->JoinCluster(role);
  return daemon;
}

Daemon::Daemon(DaemonSettings settings)
    : m_settings(std::move(settings)),
      m_pool(std::make_unique<WorkerPool>(m_settings.threads)),
      m_client(HttpClient::Create(*m_pool)),
      m_peers(std::make_unique<HttpPeerChannel>(*m_pool, *m_client)),
      m_key_value(HttpKeyValueService::Create(*m_pool, *m_client,
                                              m_settings.key_value_service)) {
  if (!m_settings.vm_list.empty()) {
    m_vm_list = HttpVmList::Create(*m_pool, *m_client, m_settings.vm_list);
  }
}

Daemon::~Daemon() { m_pool->Stop(); }

Findings Daemon::Listen() {
  Findings findings;
  auto peer = HttpServer::Create(
      *m_pool, ToOptions(m_settings.peer_listen),
      [this](HttpExchange& exchange) { return HandlePeer(exchange); });
  auto oper = HttpServer::Create(
      *m_pool, ToOptions(m_settings.operator_listen),
      [this](HttpExchange& exchange) { return HandleOperator(exchange); });
  if (!peer) findings.Append(peer.error());
  if (!oper) findings.Append(oper.error());
  if (!findings.empty()) return findings;
  m_peer_server = std::move(peer).value();
  m_operator_server = std::move(oper).value();
  return findings;
}

Findings Daemon::OpenTelemetry(MemberRole role) {
  const std::string service = role == MemberRole::kGateway
                                  ? "yuccamoor-gateway"
                                  : "yuccamoor-scheduler";
  auto exporter = MakeSpanExporter(service);
  if (!exporter) return exporter.error();
  m_telemetry =
      std::make_unique<Telemetry>(m_clock, std::move(exporter).value());
  AddOperatorPath("/metrics", [this](const HttpRequest&) {
    HttpResponse response;
    response.headers.Add("Content-Type", "text/plain; version=0.0.4");
    response.body = m_telemetry->metrics().Render();
    return response;
  });
  AddOperatorPath(kRequestsPath, [this](const HttpRequest& request) {
    return Explain(request);
  });
  return {};
}

Result<std::unique_ptr<SpanExporter>> Daemon::MakeSpanExporter(
    const std::string& service) {
  if (!m_settings.trace_file.empty()) {
    SpanFileOptions options;
    options.service = service;
    options.path = m_settings.trace_file;
    return MakeFileSpanExporter(options);
  }
  if (m_settings.trace_collector.empty()) {
    return std::unique_ptr<SpanExporter>();
  }
  SpanCollectorOptions options;
  options.service = service;
  options.address = m_settings.trace_collector;
  return MakeCollectorSpanExporter(options, *m_pool, *m_client);
}

HttpResponse Daemon::Explain(const HttpRequest& request) const {
  const std::string path = PathOf(request.target);
  const RequestId id(path.substr(std::string_view(kRequestsPath).size()));
  const auto record = m_telemetry->requests().Find(id);
  if (record) return JsonResponse(200, EncodeRequestRecord(*record));
  return JsonResponse(404, R"({"error":"no such request here"})");
}

void Daemon::JoinCluster(MemberRole role) {
  Member self;
  self.id = m_settings.node;
  self.role = role;
  self.vm = m_settings.vm;
  self.failure_domain = m_settings.failure_domain;
  self.incarnation = FirstIncarnation();
  self.address = peer_address();
  m_members = MemberRegistry::Create(
      std::move(self),
      MemberRegistryServices{*m_key_value, m_vm_list.get(), *m_peers, m_clock},
      ReplicaOptionsOf(role));
  m_members->AddPeerMethods(m_dispatcher);
  m_config = ConfigHost::Create(
      ConfigHostServices{*m_key_value, *m_peers, *m_members, m_clock},
      m_settings, peer_address(), std::random_device()());
  m_config->AddPeerMethods(m_dispatcher);
  AddOperatorPath("/healthz", [](const HttpRequest&) {
    return JsonResponse(200, R"({"alive":true})");
  });
  AddOperatorPath("/readyz", [this](const HttpRequest&) {
    return Ready() ? JsonResponse(200, R"({"ready":true})")
                   : JsonResponse(503, R"({"ready":false})");
  });
}

void Daemon::AddPeerMethod(const std::string& name,
                           JsonRpcDispatcher::Method method) {
  assert(!m_started && "methods are added before the start");
  m_dispatcher.AddMethod(name, std::move(method));
}

void Daemon::AddOperatorPath(const std::string& path, OperatorHandler handler) {
  assert(!m_started && "paths are added before the start");
  m_operator_paths[path] = std::move(handler);
}

void Daemon::Start() {
  m_started = true;
  m_pool->Start();
  m_members->Refresh();
  m_pool->Every(kMemberInterval, [this] { m_members->Refresh(); });
  m_pool->Every(kConfigInterval, [this] { m_config->Tick(); });
}

bool Daemon::Ready() const {
  return !m_draining && m_config->Ready() && m_ready_check();
}

void Daemon::Stop() {
  m_members->Remove();
  constexpr auto kRemovalTime = std::chrono::milliseconds(100);
  std::this_thread::sleep_for(kRemovalTime);
  m_pool->Stop();
}

std::string Daemon::peer_address() const {
  return m_settings.peer_listen.ip + ":" +
         std::to_string(m_peer_server->port());
}

std::map<std::string, std::uint16_t> Daemon::Ports() const {
  return {{"peer", m_peer_server->port()},
          {"operator", m_operator_server->port()}};
}

Awaitable<void> Daemon::HandlePeer(HttpExchange& exchange) {
  if (exchange.request().target == kPeerTarget) {
    co_await ServePeerCall(m_dispatcher, exchange);
    co_return;
  }
  if (m_peer_handler) {
    co_await m_peer_handler(exchange);
    co_return;
  }
  co_await exchange.Send(JsonResponse(404, R"({"error":"not found"})"));
}

Awaitable<void> Daemon::HandleOperator(HttpExchange& exchange) {
  const OperatorHandler* handler =
      FindOperatorHandler(PathOf(exchange.request().target));
  if (handler == nullptr) {
    co_await exchange.Send(JsonResponse(404, R"({"error":"not found"})"));
    co_return;
  }
  co_await exchange.Send((*handler)(exchange.request()));
}

const OperatorHandler* Daemon::FindOperatorHandler(
    const std::string& path) const {
  const auto exact = m_operator_paths.find(path);
  if (exact != m_operator_paths.end()) return &exact->second;
  const auto folder =
      m_operator_paths.find(path.substr(0, path.rfind('/') + 1));
  return folder == m_operator_paths.end() ? nullptr : &folder->second;
}

void WritePortFile(const std::string& path,
                   const std::map<std::string, std::uint16_t>& ports) {
  if (path.empty()) return;
  const std::string partial = path + ".partial";
  {
    std::ofstream file(partial);
    for (const auto& [name, port] : ports) file << name << '=' << port << '\n';
  }
  // Renamed when complete, so that a reader never sees a part of it.
  if (std::rename(partial.c_str(), path.c_str()) != 0) {
    LogEvent("port_file_failed", LogLevel::kError).Field("path", path);
  }
}

void WaitForShutdownSignal() {
  asio::io_context context;
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([](const boost::system::error_code&, int) {});
  context.run();
}

}  // namespace yuccamoor
