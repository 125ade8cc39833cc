#include "yuccamoor/transport/fleet/store_session.h"

#include <chrono>
#include <utility>
#include <variant>

#include "yuccamoor/coordination/fleet/fleet_size.h"

namespace yuccamoor::fleet {

namespace {

constexpr DurationMs kWatchTime{2'000};
// Between two watches, so that several changes come together: a third of the
// time in which a change has to be in force.
constexpr std::int64_t kWatchPausePart = 3;
// The same in a large fleet, whose endpoints change all the time.
constexpr std::int64_t kLargeFleetPausePart = 2;
// A starting fleet's nodes find each other quickly.
constexpr DurationMs kStartWatchPause{150};
constexpr DurationMs kStartTime{4'000};
constexpr DurationMs kRetryPause{250};
constexpr DurationMs kLeaseTtl{3'000};
constexpr DurationMs kRenewInterval{900};
constexpr DurationMs kRenewTimeout{700};
// Conflicts, one each retry pause, that outlast an earlier process's lease.
constexpr std::uint32_t kMaxRegisterConflicts = 16;
// Within this, some watch has always ended.
constexpr DurationMs kFreshTime{1'500};
// Silence of the store that counts as an outage.
constexpr DurationMs kOutage{1'500};

void SetTimer(boost::asio::steady_timer& timer, DurationMs pause,
              std::function<void()> step) {
  timer.expires_after(std::chrono::milliseconds(pause.ms()));
  timer.async_wait([step = std::move(step)](boost::system::error_code error) {
    if (!error) step();
  });
}

const char* ToText(StoreStatus status) {
  switch (status) {
    case StoreStatus::kOk:
      return "ok";
    case StoreStatus::kConflict:
      return "conflict";
    case StoreStatus::kLeaseEnded:
      return "lease_ended";
    case StoreStatus::kCompacted:
      return "history_gone";
    case StoreStatus::kRefused:
      return "refused";
    case StoreStatus::kUnknown:
      return "no_answer";
  }
  return "unknown";
}

}  // namespace

StoreSession::StoreSession(NodeContext& context, FleetStore& store)
    : m_context(context),
      m_store(store),
      m_watch_timer(context.io),
      m_lease_timer(context.io),
      m_started(context.clock.Now()),
      m_last_answer(m_started) {}

void StoreSession::Start(std::function<void()> on_change) {
  m_on_change = std::move(on_change);
  ReadAll();
}

bool StoreSession::IsFresh(TimeMs now) const {
  return m_has_view && now - m_last_answer < kFreshTime;
}

void StoreSession::Again(DurationMs pause, std::function<void()> step) {
  SetTimer(m_watch_timer, pause, std::move(step));
}

void StoreSession::ReadAll() {
  m_context.metrics.store_calls.Add();
  m_store.ReadAll(
      [this](const StoreReadResult& reading) { OnReading(reading, true); });
}

void StoreSession::Watch() {
  m_context.metrics.store_calls.Add();
  m_store.Watch(m_as_of, kWatchTime, [this](const StoreReadResult& reading) {
    OnReading(reading, false);
  });
}

void StoreSession::OnReading(const StoreReadResult& reading, bool whole) {
  NoteAnswer(reading.status);
  if (reading.status == StoreStatus::kCompacted) {
    m_context.log.Event("store_history_gone")
        .Number("after_revision", m_as_of.value());
    ReadAll();
    return;
  }
  if (reading.status != StoreStatus::kOk) {
    Again(kRetryPause, [this, whole] { whole ? ReadAll() : Watch(); });
    return;
  }
  const TimeMs now = m_context.clock.Now();
  const bool changed = whole || !reading.changes.empty();
  m_as_of = reading.read_revision;
  ApplyAll(reading, whole, now);
  m_has_view = true;
  if (!m_lease_begun) BeginLease();
  if (changed && m_on_change) m_on_change();
  const bool starting = now - m_started < kStartTime;
  const bool large = m_context.view.nodes().size() > kMaxSmallFleetNodes;
  const DurationMs pause = m_context.settings.max_propagation_delay /
                           (large ? kLargeFleetPausePart : kWatchPausePart);
  Again(starting ? kStartWatchPause : pause, [this] { Watch(); });
}

void StoreSession::ApplyAll(const StoreReadResult& reading, bool whole,
                            TimeMs now) {
  if (whole) {
    m_context.view.Reset(reading.changes, now);
    m_context.log.Event("store_read")
        .Number("revision", reading.read_revision.value())
        .Number("items", reading.changes.size());
  } else {
    for (const StoreChange& change : reading.changes) {
      LogNews(change, m_context.view.Apply(change, now));
    }
  }
  const auto& routes = m_context.view.routes();
  if (routes) {
    m_context.metrics.config_version.Set(
        static_cast<double>(routes->config().version.value()));
  }
}

void StoreSession::LogNews(const StoreChange& change, ViewUpdate news) {
  LineLog& log = m_context.log;
  switch (news) {
    case ViewUpdate::kConfigApplied:
    case ViewUpdate::kConfigIgnored:
      log.Event(news == ViewUpdate::kConfigApplied ? "config_applied"
                                                   : "config_ignored_as_older")
          .Number("version",
                  std::get<ConfigWritten>(change).config.version.value());
      break;
    case ViewUpdate::kAdapterRevision:
      log.Event("adapter_version_named")
          .Text("adapter",
                ToString(std::get<AdapterRevisionPublished>(change).adapter))
          .Number("version",
                  std::get<AdapterRevisionPublished>(change).revision.value());
      break;
    case ViewUpdate::kEndpointAdded:
    case ViewUpdate::kEndpointLeaving: {
      const EndpointEntry& entry = std::get<EndpointWritten>(change).entry;
      log.Event(news == ViewUpdate::kEndpointAdded ? "endpoint_added"
                                                   : "endpoint_leaving")
          .Text("endpoint", entry.id.str())
          .Text("service", entry.service.str())
          .Text("address", entry.address);
      break;
    }
    case ViewUpdate::kEndpointRemoved:
      log.Event("endpoint_removed")
          .Text("endpoint", std::get<EndpointRemoved>(change).id.str());
      break;
    case ViewUpdate::kHolderChanged:
    case ViewUpdate::kNodeChanged:
      if (const auto* written = std::get_if<RecordWritten>(&change)) {
        log.Event("record_written")
            .Text("key", written->key)
            .Text("value", written->value)
            .Number("revision", written->revision.value());
      } else {
        log.Event("record_removed")
            .Text("key", std::get<RecordRemoved>(change).key);
      }
      break;
    case ViewUpdate::kUnchanged:
      break;
  }
}

void StoreSession::NoteAnswer(StoreStatus status) {
  const TimeMs now = m_context.clock.Now();
  const bool answered =
      status != StoreStatus::kUnknown && status != StoreStatus::kRefused;
  if (!answered) {
    m_context.metrics.store_failures.Add();
    if (m_reachable) {
      m_context.log.Event("store_lost").Text("reason", ToText(status));
    }
    m_reachable = false;
    return;
  }
  const DurationMs silence = now - m_last_answer;
  m_last_answer = now;
  if (m_reachable) return;
  m_reachable = true;
  m_context.log.Event("store_regained").Ms("silence_ms", silence);
  if (silence >= kOutage) m_context.view.endpoints().OnStoreRecovered(now);
}

void StoreSession::LeaseAgain(DurationMs pause) {
  SetTimer(m_lease_timer, pause, [this] { KeepLease(); });
}

// A process that starts again on its VM within the lease's time goes on with
// the lease: the VM is still the holder of its engines.
void StoreSession::BeginLease() {
  m_lease_begun = true;
  const auto& nodes = m_context.view.nodes();
  const auto record = nodes.find(m_context.settings.node);
  const bool same_vm =
      record != nodes.end() &&
      record->second.peer_address == m_context.settings.peer_address &&
      record->second.lease.value() > 0;
  if (same_vm) {
    Adopt(record->second.lease);
  } else {
    KeepLease();
  }
}

void StoreSession::Adopt(StoreLease lease) {
  m_context.metrics.store_calls.Add();
  const TimeMs sent = m_context.clock.Now();
  m_store.RenewLease(lease, kRenewTimeout,
                     [this, lease, sent](StoreStatus status) {
                       m_context.log.Event("lease_adopted")
                           .Number("lease", lease.value())
                           .Text("outcome", ToText(status));
                       if (status != StoreStatus::kOk) {
                         KeepLease();
                         return;
                       }
                       m_lease = lease;
                       m_renewed = sent;
                       m_registered = true;
                       m_adopted = true;
                       if (m_on_change) m_on_change();
                       LeaseAgain(kRenewInterval);
                     });
}

void StoreSession::KeepLease() {
  if (!m_lease) {
    Grant();
  } else if (!m_registered) {
    Register();
  } else {
    Renew();
  }
}

void StoreSession::Grant() {
  m_context.metrics.store_calls.Add();
  const TimeMs sent = m_context.clock.Now();
  m_store.GrantLease(kLeaseTtl, [this, sent](const LeaseReply& reply) {
    if (reply.status != StoreStatus::kOk) {
      LeaseAgain(kRetryPause);
      return;
    }
    m_lease = reply.lease;
    m_renewed = sent;
    m_registered = false;
    m_context.log.Event("lease_granted").Number("lease", reply.lease.value());
    KeepLease();
  });
}

void StoreSession::Register() {
  m_context.metrics.store_calls.Add();
  m_store.CreateRecord(
      FleetView::NodeKey(m_context.settings.node),
      EncodeNodeRecord({m_context.settings.peer_address, *m_lease,
                        m_context.settings.domain}),
      *m_lease, [this](const WriteReply& reply) {
        if (reply.status == StoreStatus::kLeaseEnded) {
          LoseLease("lease ended");
          return;
        }
        // A conflict: the record of this node's earlier process still stands,
        // or this one's own from a call whose answer was lost. The earlier
        // one ends with its lease.
        const bool conflict = reply.status == StoreStatus::kConflict;
        m_register_conflicts = conflict ? m_register_conflicts + 1 : 0;
        m_registered = reply.status == StoreStatus::kOk ||
                       m_register_conflicts > kMaxRegisterConflicts;
        if (!m_registered) {
          Renew();
          return;
        }
        LeaseAgain(kRenewInterval);
      });
}

void StoreSession::Renew() {
  m_context.metrics.store_calls.Add();
  const TimeMs sent = m_context.clock.Now();
  m_store.RenewLease(*m_lease, kRenewTimeout, [this, sent](StoreStatus status) {
    if (status == StoreStatus::kLeaseEnded) {
      LoseLease("lease ended");
      return;
    }
    if (status != StoreStatus::kOk) {
      LeaseAgain(kRetryPause);
      return;
    }
    m_renewed = sent;
    LeaseAgain(m_registered ? kRenewInterval : kRetryPause);
  });
}

void StoreSession::LoseLease(const char* reason) {
  m_context.log.Event("lease_lost").Text("reason", reason);
  m_lease.reset();
  m_registered = false;
  if (m_on_change) m_on_change();
  LeaseAgain(kRetryPause);
}

void StoreSession::Claim(const EndpointId& engine,
                         std::function<void(std::optional<Epoch>)> done) {
  if (!m_lease) {
    done(std::nullopt);
    return;
  }
  m_context.metrics.store_calls.Add();
  m_store.CreateRecord(
      FleetView::HolderKey(engine), m_context.settings.node.str(), *m_lease,
      [this, engine, done = std::move(done)](const WriteReply& reply) {
        m_context.log.Event("engine_claim")
            .Text("engine", engine.str())
            .Text("outcome", ToText(reply.status))
            .Number("revision", reply.revision.value());
        if (reply.status != StoreStatus::kOk) {
          done(std::nullopt);
          return;
        }
        done(Epoch(reply.revision.value()));
      });
}

}  // namespace yuccamoor::fleet
