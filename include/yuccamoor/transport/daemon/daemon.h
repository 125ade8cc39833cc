/// \file
/// \brief What every daemon of the system is made of: threads, clients of the
/// platform and of peers, membership, configuration, and listeners.

#ifndef YUCCAMOOR_TRANSPORT_DAEMON_DAEMON_H_
#define YUCCAMOOR_TRANSPORT_DAEMON_DAEMON_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "yuccamoor/coordination/membership/member_table.h"
#include "yuccamoor/protocol/daemon_settings.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/result.h"
#include "yuccamoor/transport/asio.h"
#include "yuccamoor/transport/http_peer_channel.h"
#include "yuccamoor/transport/http_server.h"
#include "yuccamoor/transport/json_rpc.h"
#include "yuccamoor/transport/worker_pool.h"

namespace yuccamoor {

class ConfigHost;
class HttpClient;
class KeyValueService;
class MemberRegistry;
class SpanExporter;
class Telemetry;

/// Answers an operator's request.
using OperatorHandler = std::function<HttpResponse(const HttpRequest&)>;

/// The common part. Made first, then filled with the role's methods and tasks,
/// then started.
class Daemon {
 public:
  static Result<std::unique_ptr<Daemon>> Create(DaemonSettings settings,
                                                MemberRole role);
  ~Daemon();

  /// Adds a method that peers call. Before Start.
  void AddPeerMethod(const std::string& name, JsonRpcDispatcher::Method method);
  /// Sets what answers the peers' requests other than calls of methods. Before
  /// Start.
  void SetPeerHandler(HttpHandler handler) {
    m_peer_handler = std::move(handler);
  }
  /// Sets what the role needs besides a configuration to be ready. Before
  /// Start.
  void SetReadyCheck(std::function<bool()> check) {
    m_ready_check = std::move(check);
  }
  /// Adds what operators reach under exactly this path or, if it ends with a
  /// slash, under all paths that begin with it. Before Start.
  void AddOperatorPath(const std::string& path, OperatorHandler handler);

  /// Starts the threads and the periodic tasks.
  void Start();
  /// Turns unready at once: the balancer and peers send nothing new.
  void SetDraining() { m_draining = true; }
  bool draining() const { return m_draining; }
  /// Whether the daemon may take work: configured, registered, not draining.
  bool Ready() const;
  /// Removes the registration and stops the threads.
  void Stop();

  WorkerPool& pool() { return *m_pool; }
  HttpClient& client() { return *m_client; }
  PeerChannel& peers() { return *m_peers; }
  KeyValueService& key_value() { return *m_key_value; }
  MemberRegistry& members() { return *m_members; }
  ConfigHost& config() { return *m_config; }
  Telemetry& telemetry() { return *m_telemetry; }
  const Clock& clock() const { return m_clock; }
  const DaemonSettings& settings() const { return m_settings; }
  /// Where peers reach this daemon, as "ip:port".
  std::string peer_address() const;
  /// The ports of the common listeners, by name.
  std::map<std::string, std::uint16_t> Ports() const;

 private:
  explicit Daemon(DaemonSettings settings);

  Findings Listen();
  Findings OpenTelemetry(MemberRole role);
  /// Returns null if the settings name no place for spans.
  Result<std::unique_ptr<SpanExporter>> MakeSpanExporter(
      const std::string& service);
  void JoinCluster(MemberRole role);
  Awaitable<void> HandlePeer(HttpExchange& exchange);
  Awaitable<void> HandleOperator(HttpExchange& exchange);
  const OperatorHandler* FindOperatorHandler(const std::string& path) const;
  HttpResponse Explain(const HttpRequest& request) const;

  DaemonSettings m_settings;
  SteadyClock m_clock;
  std::unique_ptr<Telemetry> m_telemetry;
  std::unique_ptr<WorkerPool> m_pool;
  std::unique_ptr<HttpClient> m_client;
  std::unique_ptr<HttpPeerChannel> m_peers;
  std::unique_ptr<KeyValueService> m_key_value;
  std::unique_ptr<VmList> m_vm_list;
  std::shared_ptr<MemberRegistry> m_members;
  std::shared_ptr<ConfigHost> m_config;
  JsonRpcDispatcher m_dispatcher;
  HttpHandler m_peer_handler;
  std::function<bool()> m_ready_check = [] { return true; };
  std::map<std::string, OperatorHandler, std::less<>> m_operator_paths;
  std::unique_ptr<HttpServer> m_peer_server;
  std::unique_ptr<HttpServer> m_operator_server;
  std::atomic<bool> m_draining{false};
  std::atomic<bool> m_started{false};
};

/// Writes "name=port" lines of the daemon's listeners to \p path, for those who
/// start it with port 0. Does nothing if the path is empty.
void WritePortFile(const std::string& path,
                   const std::map<std::string, std::uint16_t>& ports);

/// Blocks until SIGTERM or SIGINT arrives.
void WaitForShutdownSignal();

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_DAEMON_DAEMON_H_
