#include "yuccamoor/transport/fleet/node.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <exception>
#include <utility>
#include <variant>

namespace yuccamoor::fleet {

namespace {

constexpr std::chrono::milliseconds kTick{20};
constexpr DurationMs kLogFlush{100};
// The nodes of a small fleet tell each other their state this often.
constexpr DurationMs kTellInterval{250};
// A datagram there and one back, each with a late wake-up.
constexpr DurationMs kRetireTime{60};
// After SIGTERM, the balancer takes the node out within two questions a second
// apart.
constexpr DurationMs kOutOfRotation{2'500};
// Streams that come later cannot be sure to end within the grace. The balancer
// goes on sending to leaving nodes while most of a failure domain leaves.
constexpr DurationMs kAcceptStreamsTime{3'000};
// The requests under way are ended that long before the process is killed.
constexpr DurationMs kEndMargin{500};
// After that, clients may read their last answers for this long.
constexpr DurationMs kLastAnswersTime{400};

RetryLimits RetryLimitsOf(const NodeSettings& settings) {
  return {settings.retry_fraction, static_cast<double>(settings.retry_burst),
          settings.retry_window};
}

}  // namespace

Result<std::unique_ptr<Node>> Node::Create(NodeContext& context,
                                           MetricsRegistry& registry,
                                           NodePlatform platform) {
  std::unique_ptr<Node> node(new Node(context, registry, std::move(platform)));
  Findings findings = node->Bind();
  if (!findings.empty()) return findings;
  return node;
}

Node::Node(NodeContext& context, MetricsRegistry& registry,
           NodePlatform platform)
    : m_context(context),
      m_registry(registry),
      m_platform(std::move(platform)),
      m_lease(context, m_platform.store, [this] { m_holder.OnViewChanged(); }),
      m_session(
          context, m_platform.store,
          [this](const TellChanges& told) { m_peers->SendToDomain(told); }),
      m_dispatcher(
          context,
          [this](const NodeId& node, const PeerMessage& message) {
            m_peers->Send(node, message);
          },
          [this](const PeerMessage& message) { m_peers->Broadcast(message); }),
      m_holder(
          context, m_lease, m_platform.engines,
          [this](const NodeId& node, const TellLoaded& told) {
            m_peers->Send(node, told);
          },
          [this](const TellRetired& told) {
            m_peers->Broadcast(told);
            const auto used = m_dispatcher.OnRetired(told);
            if (used) m_holder.OnTellInUse(*used);
          }),
      m_admissions(context, m_dispatcher,
                   [this](const NodeId& node, const PeerMessage& message) {
                     m_peers->Send(node, message);
                   }),
      m_admission_server(
          context, m_holder, m_dispatcher,
          [this](const NodeId& node, const PeerMessage& message) {
            m_peers->Send(node, message);
          }),
      m_crashes(
          context,
          [this](const NodeId& node, const PeerMessage& message) {
            m_peers->Send(node, message);
          },
          [this](const PeerMessage& message) { m_peers->Broadcast(message); }),
      m_permits(
          context,
          [this](const NodeId& node, const PeerMessage& message) {
            m_peers->Send(node, message);
          },
          [this](const PeerMessage& message) { m_peers->Broadcast(message); }),
      m_permit_server(
          context, [this] { return m_session.IsFresh(m_context.clock.Now()); },
          [this](const NodeId& node, const PeerMessage& message) {
            m_peers->Send(node, message);
          }),
      m_quotas(context, m_platform.store,
               [this](const NodeId& node, const QuotaMessage& message) {
                 m_peers->Send(node, message);
               }),
      m_retries(context.settings.node, RetryLimitsOf(context.settings),
                ShareTimes::For(context.settings.max_propagation_delay),
                context.settings.first_start),
      m_signals(context.io),
      m_timer(context.io) {}

Findings Node::Bind() {
  const NodeSettings& settings = m_context.settings;
  Findings findings;
  const auto take = [&findings](auto result, auto& member) {
    if (result) {
      member = std::move(result).value();
    } else {
      findings.Append(result.error());
    }
  };
  take(PeerLink::Create(m_context,
                        [this](const PeerMessage& message, bool direct) {
                          OnPeerMessage(message, direct);
                        }),
       m_peers);
  take(FrontServer::Create(m_context, m_dispatcher, m_admissions, m_crashes,
                           m_permits, m_quotas.quotas(), m_retries),
       m_front);
  take(StatusServer::Create(m_context, settings.readiness_address, "ready",
                            [this](const std::string& path) {
                              const bool ready = path == "/ready" && IsReady();
                              return StatusReply{ready ? 200 : 503, ""};
                            }),
       m_ready);
  take(StatusServer::Create(m_context, settings.metrics_address, "metrics",
                            [this](const std::string& /*path*/) {
                              return StatusReply{200, m_registry.Render()};
                            }),
       m_metrics_server);
  return findings;
}

void Node::Start() {
  m_context.log.Event("node_started")
      .Text("node", m_context.settings.node.str())
      .Text("failure_domain", m_context.settings.domain.str())
      .Text("front", ToString(m_context.settings.client_address))
      .Text("store", ToString(m_context.settings.store_address));
  m_signals.add(SIGTERM);
  m_signals.add(SIGINT);
  m_signals.add(SIGHUP);
  AwaitSignal();
  m_platform.store.ListenForEras([this](StoreEra era) {
    m_session.OnStoreRestored(era);
    m_lease.OnStoreRestored();
  });
  m_session.Start([this] { OnViewChanged(); });
  ScheduleTick();
}

void Node::OnViewChanged() {
  if (!m_lease.has_begun()) m_lease.Begin();
  m_holder.OnViewChanged();
  m_crashes.OnNodesChanged();
}

bool Node::IsReady() const {
  return !m_stopping_since && m_context.view.routes() != nullptr;
}

void Node::AwaitSignal() {
  m_signals.async_wait([this](boost::system::error_code error, int signal) {
    if (error) return;
    OnSignal(signal);
    AwaitSignal();
  });
}

void Node::OnSignal(int signal) {
  if (signal == SIGHUP) {
    Reload();
  } else if (!m_stopping_since) {
    BeginShutdown();
  }
}

void Node::Reload() {
  const auto settings = m_platform.reload();
  if (!settings) {
    m_context.log.Event("settings_refused")
        .Text("findings", settings.error().ToString());
    return;
  }
  // Addresses and names are those of this process; a new start takes new ones.
  m_context.log.Event("settings_reloaded")
      .Text("node", settings.value().node.str());
}

void Node::BeginShutdown() {
  const TimeMs now = m_context.clock.Now();
  m_stopping_since = now;
  m_context.log.Event("node_stopping")
      .Number("in_flight", m_front->in_flight())
      .Number("connections", m_front->connections())
      .Number("engines_held", m_holder.held());
  m_front->BeginShutdown(now + kAcceptStreamsTime,
                         now + m_context.settings.shutdown_grace - kEndMargin);
}

void Node::CheckShutdown(TimeMs now) {
  if (!m_stopping_since) return;
  const DurationMs since = now - *m_stopping_since;
  const bool done =
      since >= kOutOfRotation && m_front->IsQuiet() &&
      (m_front->connections() == 0 || since >= kAcceptStreamsTime);
  const DurationMs end = m_context.settings.shutdown_grace - kEndMargin;
  if (since >= end) {
    m_front->EndRequests();
    m_front->HandOver();
  }
  const bool out_of_time = since >= end + kLastAnswersTime;
  if (!done && !out_of_time) return;
  m_context.log.Event("node_stopped")
      .Number("in_flight", m_front->in_flight())
      .Ms("after_ms", since);
  m_context.log.Flush();
  m_context.io.stop();
}

void Node::Tick() {
  const TimeMs now = m_context.clock.Now();
  m_context.view.endpoints().Expire(now);
  m_dispatcher.OnTick(now);
  m_dispatcher.OnLocalHeld(m_holder.Status());
  const bool large = m_dispatcher.IsLarge();
  m_holder.SetPace({m_dispatcher.LoadsElsewhere(),
                    m_dispatcher.MaxLoadsElsewhere(),
                    large ? EngineUseReports::kRepeatInterval : kTellInterval,
                    large ? DurationMs(0) : kRetireTime});
  m_lease.OnTick(now);
  m_holder.OnTick(now);
  m_permits.OnTick(now);
  m_permit_server.OnTick(now);
  m_quotas.OnTick(now);
  KeepRetryBudgets(now);
  m_front->OnTick(now);
  m_ready->OnTick(now);
  m_metrics_server->OnTick(now);
  m_crashes.OnTick(now);
  if (large) {
    m_admission_server.OnTick(now);
    TellHolders(now);
  } else {
    TellPeers(now);
  }
  FlushLog(now);
  CheckShutdown(now);
}

void Node::ScheduleTick() {
  m_timer.expires_after(kTick);
  m_timer.async_wait([this](boost::system::error_code error) {
    if (error) return;
    // A tick that fails must not be the last one.
    try {
      Tick();
    } catch (const std::exception& failure) {
      m_context.log.Event("tick_failed").Text("error", failure.what());
      m_context.log.Flush();
    }
    ScheduleTick();
  });
}

void Node::FlushLog(TimeMs now) {
  if (now - m_flushed < kLogFlush) return;
  m_flushed = now;
  m_context.log.Flush();
  NodeMetrics& metrics = m_context.metrics;
  metrics.log_lines_dropped.Add(m_context.log.dropped() - m_counted_drops);
  m_counted_drops = m_context.log.dropped();
  metrics.engines_held.Set(static_cast<double>(m_holder.held()));
  metrics.requests_in_flight.Set(static_cast<double>(m_front->in_flight()));
  metrics.client_connections.Set(static_cast<double>(m_front->connections()));
  metrics.kept_bytes.Set(static_cast<double>(m_context.kept.bytes()));
}

void Node::KeepRetryBudgets(TimeMs now) {
  const FleetView& view = m_context.view;
  const double before = m_retries.own_burst();
  m_retries.OnTick(view.nodes(), view.current_at(), now);
  if (m_retries.own_burst() == before) return;
  m_context.log.Event("retry_burst_changed")
      .Number("nodes", view.nodes().size())
      .Real("burst", m_retries.own_burst());
}

void Node::TellPeers(TimeMs now) {
  if (now - m_told < kTellInterval) return;
  m_told = now;
  NodeStatus status = m_dispatcher.TakeStatus();
  status.held = m_holder.Status();
  status.store.fresh = m_session.IsFresh(now);
  status.store.nodes =
      static_cast<std::uint32_t>(m_context.view.nodes().size());
  if (status.store.fresh && m_dispatcher.SomeNodeWithoutStore()) {
    for (const auto& [engine, holder] : m_context.view.holders()) {
      status.store.holders[engine] = holder.fence;
    }
  }
  NoteUsed(status.used);
  m_peers->Broadcast(status);
}

void Node::TellHolders(TimeMs now) {
  for (const auto& [holder, told] : m_dispatcher.TakeUse(now)) {
    if (holder == m_context.settings.node) {
      // Its own requests are counted where they begin and end.
      NoteUsed(told.use.used);
    } else {
      m_peers->Send(holder, told);
    }
  }
}

void Node::NoteUsed(const UsedAdapters& used) {
  for (const auto& [engine, adapters] : used) {
    for (const auto& [adapter, requests] : adapters) {
      m_holder.OnUsed(engine, adapter, requests);
    }
  }
}

void Node::OnPeerMessage(const PeerMessage& message, bool direct) {
  if (const auto* status = std::get_if<NodeStatus>(&message)) {
    m_dispatcher.OnPeerStatus(*status);
    if (direct) m_holder.OnPeerStatus(*status, m_context.clock.Now());
    NoteUsed(status->used);
  } else if (const auto* ask = std::get_if<AskLoad>(&message)) {
    const auto queued = m_holder.OnAskLoad(*ask);
    if (queued) m_peers->Send(ask->node, *queued);
  } else if (const auto* queued = std::get_if<TellQueued>(&message)) {
    m_dispatcher.OnQueued(*queued);
  } else if (const auto* loaded = std::get_if<TellLoaded>(&message)) {
    m_dispatcher.OnLoaded(*loaded);
    m_admissions.OnLoaded(*loaded);
    m_admission_server.OnLoaded(*loaded);
  } else if (const auto* prompt = std::get_if<TellPrompt>(&message)) {
    m_dispatcher.OnPeerPrompt(*prompt);
  } else if (const auto* missing = std::get_if<TellMissing>(&message)) {
    m_holder.OnTellMissing(*missing);
  } else if (const auto* retired = std::get_if<TellRetired>(&message)) {
    const auto used = m_dispatcher.OnRetired(*retired);
    if (used) m_peers->Send(retired->holder, *used);
  } else if (const auto* in_use = std::get_if<TellInUse>(&message)) {
    m_holder.OnTellInUse(*in_use);
  } else if (const auto* changes = std::get_if<TellChanges>(&message)) {
    m_session.OnTellChanges(*changes);
  } else if (const auto* asked = std::get_if<AskAdmission>(&message)) {
    m_admission_server.OnAsk(*asked);
  } else if (const auto* admission = std::get_if<TellAdmission>(&message)) {
    m_admissions.OnTellAdmission(*admission);
  } else if (const auto* sent = std::get_if<TellSent>(&message)) {
    m_admission_server.OnSent(*sent);
  } else if (const auto* crashes = std::get_if<TellCrashes>(&message)) {
    m_crashes.OnTellCrashes(*crashes);
  } else if (const auto* asks = std::get_if<AskPermit>(&message)) {
    m_permit_server.OnAsk(*asks);
  } else if (const auto* permit = std::get_if<TellPermit>(&message)) {
    m_permits.OnTellPermit(*permit);
  } else if (const auto* limit = std::get_if<TellLimit>(&message)) {
    m_permits.OnTellLimit(*limit);
  } else if (const auto* leaving = std::get_if<TellLeaving>(&message)) {
    m_permits.OnTellLeaving(*leaving);
  } else if (const auto* quota = std::get_if<QuotaMessage>(&message)) {
    m_quotas.OnMessage(*quota);
  } else if (const auto* use = std::get_if<TellUse>(&message)) {
    m_dispatcher.OnPeerUse(*use);
    NoteUsed(use->use.used);
  }
}

}  // namespace yuccamoor::fleet
