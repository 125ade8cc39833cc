/// \file
/// \brief The gateway: takes callers' requests and has them answered.

#ifndef YUCCAMOOR_TRANSPORT_GATEWAY_GATEWAY_H_
#define YUCCAMOOR_TRANSPORT_GATEWAY_GATEWAY_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <shared_mutex>
#include <vector>

#include "yuccamoor/coordination/request/shutdown_sequence.h"
#include "yuccamoor/protocol/daemon_settings.h"
#include "yuccamoor/state/result.h"
#include "yuccamoor/transport/daemon/daemon.h"
#include "yuccamoor/transport/gateway/chat_service.h"

namespace yuccamoor {

class ServiceProxy;
class ShardHost;

/// One gateway process.
class Gateway final : public ChatDirectory {
 public:
  /// Binds every listener. All findings are reported together.
  static Result<std::unique_ptr<Gateway>> Create(GatewaySettings settings);
  ~Gateway() override;

  void Start();
  /// Turns unready, lets every request in flight end, hands back what it
  /// holds, and stops. Returns whether all of them ended within the grace.
  bool Shutdown();

  std::uint16_t port() const { return m_server->port(); }
  Daemon& daemon() { return *m_daemon; }

  std::shared_ptr<const ConfigSnapshot> Config() const override;
  std::shared_ptr<CellSession> Session(const CellId& cell) const override;

 private:
  Gateway(GatewaySettings settings, std::unique_ptr<Daemon> daemon);

  Findings Listen();
  Findings OpenShards();
  void AddPeerMethods();
  void AddOperatorPaths();
  Awaitable<void> Handle(HttpExchange& exchange);
  /// Handles a request that another gateway has sent to a key's home, or says
  /// that it is not taken.
  Awaitable<void> HandleForwarded(HttpExchange& exchange);
  /// What must end before a shutdown may.
  ShutdownLoad Load() const;
  void Tick();
  /// Passes membership and the list of VMs on to the proxy and the shards.
  void RefreshMembers();
  void NoteEndedGateways(const std::vector<Member>& gateways);
  void SpreadGossip();
  /// Opens a session for each cell of the configuration.
  void OpenSessions();
  /// Whether every cell of the configuration has one.
  bool HasSessions() const;
  RequestId NewRequestId(const HttpRequest& request);

  GatewaySettings m_settings;
  std::unique_ptr<Daemon> m_daemon;
  std::unique_ptr<ChatService> m_chat;
  std::shared_ptr<ShardHost> m_shards;
  std::unique_ptr<ServiceProxy> m_proxy;
  std::unique_ptr<HttpServer> m_server;
  std::uint64_t m_random_salt;
  std::atomic<std::uint64_t> m_request_counter{0};
  /// Forwarded requests that are being served.
  std::atomic<std::size_t> m_forwarded{0};
  std::atomic<bool> m_taking_forwarded{true};

  /// Guards the sessions; taken before a session's own mutex.
  mutable std::shared_mutex m_sessions_mutex;
  std::map<CellId, std::shared_ptr<CellSession>> m_sessions;

  /// The gateways of the last refresh. Used by one periodic task only.
  std::map<NodeId, Incarnation> m_known_gateways;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_GATEWAY_GATEWAY_H_
