#include "yuccamoor/transport/fleet/lease_keeper.h"

#include <string>
#include <utility>

namespace yuccamoor::fleet {

namespace {

constexpr DurationMs kRetryPause{250};
constexpr DurationMs kLeaseTtl{3'000};
constexpr DurationMs kRenewInterval{900};
constexpr DurationMs kRenewTimeout{700};
// Conflicts, one each retry pause, that outlast an earlier process's lease.
constexpr std::uint32_t kMaxRegisterConflicts = 16;

}  // namespace

LeaseKeeper::LeaseKeeper(NodeContext& context, FleetStore& store,
                         std::function<void()> on_change)
    : m_context(context), m_store(store), m_on_change(std::move(on_change)) {}

void LeaseKeeper::KeepAfter(DurationMs pause) {
  m_next_call = m_context.clock.Now() + pause;
}

void LeaseKeeper::OnTick(TimeMs now) {
  if (!m_next_call || now < *m_next_call) return;
  m_next_call.reset();
  Keep();
}

// A process that starts again on its VM within the lease's time goes on with
// the lease: the VM is still the holder of its engines.
void LeaseKeeper::Begin() {
  m_has_begun = true;
  const auto& nodes = m_context.view.nodes();
  const auto record = nodes.find(m_context.settings.node);
  const bool same_vm =
      record != nodes.end() &&
      record->second.peer_address == m_context.settings.peer_address &&
      record->second.lease.value() > 0;
  if (same_vm) {
    Adopt(record->second.lease);
  } else {
    Keep();
  }
}

void LeaseKeeper::OnStoreRestored() {
  if (!m_has_begun) return;
  m_has_begun = false;
  ++m_era_count;
  m_next_call.reset();
  Drop("store restored");
}

// A record alone does not show that its node has ordered: that one may still
// have waited, or another node may have held the engine since the store was
// copied.
std::set<Epoch> LeaseKeeper::OrderedFences() const {
  const std::set<Epoch> stated =
      m_context.view.OrderingFences(m_context.settings.node);
  std::set<Epoch> fences;
  for (const auto& [engine, holder] : m_context.view.holders()) {
    if (holder.node != m_context.settings.node) continue;
    if (stated.contains(holder.fence)) fences.insert(holder.fence);
  }
  return fences;
}

void LeaseKeeper::Adopt(StoreLease lease) {
  m_context.metrics.store_calls.Add();
  const TimeMs sent = m_context.clock.Now();
  const std::set<Epoch> fences = OrderedFences();
  m_store.RenewLease(
      lease, kRenewTimeout,
      [this, lease, sent, fences, era = m_era_count](StoreStatus status) {
        if (era != m_era_count) return;
        m_context.log.Event("lease_adopted")
            .Number("lease", lease.value())
            .Text("outcome", ToText(status));
        if (status != StoreStatus::kOk) {
          Keep();
          return;
        }
        m_lease = lease;
        m_renewed = sent;
        m_registered = true;
        m_taken_over = fences;
        m_on_change();
        KeepAfter(kRenewInterval);
      });
}

void LeaseKeeper::Keep() {
  if (!m_lease) {
    Grant();
  } else if (!m_registered) {
    Register();
  } else {
    Renew();
  }
}

void LeaseKeeper::Grant() {
  m_context.metrics.store_calls.Add();
  const TimeMs sent = m_context.clock.Now();
  m_store.GrantLease(kLeaseTtl, [this, sent,
                                 era = m_era_count](const LeaseReply& reply) {
    if (era != m_era_count) return;
    if (reply.status != StoreStatus::kOk) {
      KeepAfter(kRetryPause);
      return;
    }
    m_lease = reply.lease;
    m_renewed = sent;
    m_registered = false;
    m_context.log.Event("lease_granted").Number("lease", reply.lease.value());
    Keep();
  });
}

void LeaseKeeper::Register() {
  m_context.metrics.store_calls.Add();
  m_store.CreateRecord(
      FleetView::NodeKey(m_context.settings.node),
      EncodeNodeRecord({m_context.settings.peer_address, *m_lease,
                        m_context.settings.domain}),
      *m_lease, [this, era = m_era_count](const WriteReply& reply) {
        if (era != m_era_count) return;
        if (reply.status == StoreStatus::kLeaseEnded) {
          Lose("lease ended");
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
        KeepAfter(kRenewInterval);
      });
}

void LeaseKeeper::Renew() {
  m_context.metrics.store_calls.Add();
  const TimeMs sent = m_context.clock.Now();
  m_store.RenewLease(*m_lease, kRenewTimeout,
                     [this, sent, era = m_era_count](StoreStatus status) {
                       if (era != m_era_count) return;
                       if (status == StoreStatus::kLeaseEnded) {
                         Lose("lease ended");
                         return;
                       }
                       if (status != StoreStatus::kOk) {
                         KeepAfter(kRetryPause);
                         return;
                       }
                       m_renewed = sent;
                       KeepAfter(m_registered ? kRenewInterval : kRetryPause);
                     });
}

void LeaseKeeper::Lose(const char* reason) {
  Drop(reason);
  KeepAfter(kRetryPause);
}

void LeaseKeeper::Drop(const char* reason) {
  m_context.log.Event("lease_lost").Text("reason", reason);
  m_lease.reset();
  m_registered = false;
  m_register_conflicts = 0;
  m_taken_over.clear();
  m_on_change();
}

void LeaseKeeper::Claim(
    const EndpointId& engine,
    std::function<void(std::optional<RecordWritten>)> done) {
  if (!m_lease) {
    done(std::nullopt);
    return;
  }
  m_context.metrics.store_calls.Add();
  RecordWritten record;
  record.key = FleetView::HolderKey(engine);
  record.value = m_context.settings.node.str();
  m_store.CreateRecord(
      record.key, record.value, *m_lease,
      [this, engine,
       done = TakeReply(record, std::move(done))](const WriteReply& reply) {
        m_context.log.Event("engine_claim")
            .Text("engine", engine.str())
            .Text("outcome", ToText(reply.status))
            .Number("revision", reply.revision.value());
        done(reply);
      });
}

void LeaseKeeper::StateOrdering(
    const std::set<Epoch>& fences,
    std::function<void(std::optional<RecordWritten>)> done) {
  if (!m_lease) {
    done(std::nullopt);
    return;
  }
  m_context.metrics.store_calls.Add();
  RecordWritten record;
  record.key = FleetView::OrderingKey(m_context.settings.node);
  record.value = EncodeFences(fences);
  m_store.WriteRecord(record.key, record.value, *m_lease,
                      TakeReply(record, std::move(done)));
}

// Returns what takes the reply to a write begun now, and passes on the record
// as it was written.
std::function<void(const WriteReply&)> LeaseKeeper::TakeReply(
    RecordWritten record, RecordDone done) const {
  return [this, record = std::move(record), era = m_era_count,
          done = std::move(done)](const WriteReply& reply) {
    // A record of an earlier era is gone.
    if (reply.status != StoreStatus::kOk || era != m_era_count) {
      done(std::nullopt);
      return;
    }
    RecordWritten written = record;
    written.revision = reply.revision;
    written.era = reply.era;
    done(std::move(written));
  };
}

}  // namespace yuccamoor::fleet
