/// \file
/// \brief One node of a fleet: takes requests, and holds engines.

#ifndef YUCCAMOOR_TRANSPORT_FLEET_NODE_H_
#define YUCCAMOOR_TRANSPORT_FLEET_NODE_H_

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "yuccamoor/coordination/fleet/engine_control.h"
#include "yuccamoor/coordination/fleet/fleet_store.h"
#include "yuccamoor/coordination/fleet/retry_budgets.h"
#include "yuccamoor/transport/fleet/admission_client.h"
#include "yuccamoor/transport/fleet/admission_server.h"
#include "yuccamoor/transport/fleet/crash_guard.h"
#include "yuccamoor/transport/fleet/dispatcher.h"
#include "yuccamoor/transport/fleet/engine_holder.h"
#include "yuccamoor/transport/fleet/front_server.h"
#include "yuccamoor/transport/fleet/lease_keeper.h"
#include "yuccamoor/transport/fleet/peer_link.h"
#include "yuccamoor/transport/fleet/permit_server.h"
#include "yuccamoor/transport/fleet/quota_keeper.h"
#include "yuccamoor/transport/fleet/status_server.h"
#include "yuccamoor/transport/fleet/store_session.h"

namespace yuccamoor::fleet {

/// What a node needs from its platform. All must outlive the node.
struct NodePlatform {
  FleetStore& store;
  EngineControl& engines;
  /// Reads the settings again; findings mean that the old ones stay.
  std::function<Result<NodeSettings>()> reload;
};

/// The whole node. Runs on the context's event loop.
class Node {
 public:
  /// Binds every address; findings name those that failed.
  static Result<std::unique_ptr<Node>> Create(NodeContext& context,
                                              MetricsRegistry& registry,
                                              NodePlatform platform);

  /// Starts serving. The event loop's run ends when the node has shut down.
  void Start();

 private:
  Node(NodeContext& context, MetricsRegistry& registry, NodePlatform platform);

  Findings Bind();
  void AwaitSignal();
  void OnSignal(int signal);
  void Reload();
  void BeginShutdown();
  void CheckShutdown(TimeMs now);
  void ScheduleTick();
  void Tick();
  void FlushLog(TimeMs now);
  void TellPeers(TimeMs now);
  /// Has the retry budgets follow the registered nodes.
  void KeepRetryBudgets(TimeMs now);
  /// Takes up the changed view of the store.
  void OnViewChanged();
  void OnPeerMessage(const PeerMessage& message, bool direct);
  void NoteUsed(const UsedAdapters& used);
  /// Tells the holders of engines in use, in a large fleet.
  void TellHolders(TimeMs now);
  bool IsReady() const;

  NodeContext& m_context;
  MetricsRegistry& m_registry;
  NodePlatform m_platform;
  LeaseKeeper m_lease;
  StoreSession m_session;
  Dispatcher m_dispatcher;
  EngineHolder m_holder;
  AdmissionClient m_admissions;
  AdmissionServer m_admission_server;
  CrashGuard m_crashes;
  PermitClient m_permits;
  PermitServer m_permit_server;
  QuotaKeeper m_quotas;
  RetryBudgets m_retries;
  std::unique_ptr<PeerLink> m_peers;
  std::unique_ptr<FrontServer> m_front;
  std::unique_ptr<StatusServer> m_ready;
  std::unique_ptr<StatusServer> m_metrics_server;
  boost::asio::signal_set m_signals;
  boost::asio::steady_timer m_timer;
  TimeMs m_told;
  TimeMs m_flushed;
  std::uint64_t m_counted_drops = 0;
  std::optional<TimeMs> m_stopping_since;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_TRANSPORT_FLEET_NODE_H_
