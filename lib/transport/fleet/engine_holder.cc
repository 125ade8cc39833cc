#include "yuccamoor/transport/fleet/engine_holder.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace yuccamoor::fleet {

namespace {

// Nodes of a starting fleet register before the first claims.
constexpr DurationMs kClaimDelay{900};
// A node that is cut off from the store hears of a new one by then.
constexpr DurationMs kLateClaimDelay{2'200};
// Looking for an engine to claim walks over all engines and nodes.
constexpr DurationMs kClaimInterval{100};
// What a node orders is written to the store at most so often.
constexpr DurationMs kStatementInterval{500};

const char* ToText(OrderOutcome end) {
  switch (end) {
    case OrderOutcome::kAccepted:
      return "accepted";
    case OrderOutcome::kDone:
      return "done";
    case OrderOutcome::kConflict:
      return "conflict";
    case OrderOutcome::kRejected:
      return "rejected";
    case OrderOutcome::kUnknown:
      return "no_answer";
  }
  return "unknown";
}

}  // namespace

EngineHolder::EngineHolder(NodeContext& context, LeaseKeeper& lease,
                           EngineControl& control, Notify notify,
                           Announce announce)
    : m_context(context),
      m_lease(lease),
      m_control(control),
      m_notify(std::move(notify)),
      m_announce(std::move(announce)),
      m_claims(context.settings.node),
      m_starts(context.settings.holder_separation),
      m_right(context.settings.node, context.settings.holder_separation) {}

bool EngineHolder::MayOrder(TimeMs now) const {
  std::optional<TimeMs> renewed;
  if (m_lease.lease()) renewed = m_lease.renewed();
  // Asked several times a tick: the others matter in an outage only.
  if (OrderRight::IsRenewed(renewed, now)) return true;
  std::map<EndpointId, Epoch> held;
  for (const auto& [engine, item] : m_held) held[engine] = item.fence;
  const FleetView& view = m_context.view;
  return m_right.MayOrder(renewed, held, view.NodeIds(), view.NodesGoneLately(),
                          now);
}

void EngineHolder::OnPeerStatus(const NodeStatus& status, TimeMs now) {
  PeerReport sight;
  sight.store = status.store;
  for (const auto& [engine, held] : status.held) sight.held.insert(engine);
  m_right.OnPeerReport(status.node, std::move(sight), now);
}

void EngineHolder::ForgetEndedRecords() {
  if (m_lease.lease()) {
    m_starts.RetainOnly(m_context.view.holders());
  } else {
    m_starts.Clear();
  }
}

void EngineHolder::OnViewChanged() {
  const FleetView& view = m_context.view;
  if (!m_first_view) m_first_view = m_context.clock.Now();
  ForgetEndedRecords();
  for (const auto& [engine, record] : view.holders()) {
    if (record.node != m_context.settings.node) m_starts.OnOtherHolder(engine);
  }
  std::erase_if(m_held, [&](const auto& item) {
    const auto record = view.holders().find(item.first);
    const bool ours = record != view.holders().end() &&
                      record->second.fence == item.second.fence &&
                      m_lease.lease();
    if (!ours) {
      m_context.log.Event("engine_released").Text("engine", item.first.str());
    }
    return !ours || !view.endpoints().Find(item.first);
  });
  // Without a lease it is not yet known whether this VM's earlier process held
  // them until now.
  for (const auto& [engine, record] : view.holders()) {
    if (!m_lease.lease()) break;
    if (record.node == m_context.settings.node && !m_held.contains(engine)) {
      TakeUp(engine, record.fence);
    }
  }
  for (auto& [engine, held] : m_held) {
    const Endpoint* endpoint = view.endpoints().Find(engine);
    if (!endpoint) continue;
    if (endpoint->entry.start_unix_ms != held.entry.start_unix_ms) {
      held.host.OnEngineRestart(m_context.clock.Now());
    }
    held.entry = endpoint->entry;
  }
}

void EngineHolder::TakeUp(const EndpointId& engine, Epoch fence) {
  const Endpoint* endpoint = m_context.view.endpoints().Find(engine);
  if (!endpoint) return;
  const EngineSpec* spec = m_context.view.EngineOf(endpoint->entry.service);
  if (!spec || spec->models.empty()) return;
  EngineHostOptions options;
  options.adapter_slots = spec->adapter_slots;
  options.model = spec->models.front().model;
  options.model_load_time = spec->models.front().load_time;
  options.full_speed_loads = FullSpeedLoads(spec->models_per_second);
  const TimeMs now = m_context.clock.Now();
  HolderEvidence evidence;
  evidence.never_held = m_context.view.WasNeverHeld(engine);
  evidence.earlier_process = m_lease.taken_over().contains(fence);
  const OrderStart start = m_starts.TakeUp(engine, fence, evidence, now);
  m_held.emplace(engine,
                 Held{endpoint->entry, EngineHost(options, fence, start.from),
                      fence, start.from});
  m_context.log.Event("engine_held")
      .Text("engine", engine.str())
      .Number("fence", fence.value())
      .Ms("order_wait_ms", std::max(start.from - now, DurationMs(0)))
      .Text("reason", ToText(start.reason));
}

void EngineHolder::OnTick(TimeMs now) {
  m_right.OnTick(now);
  if (!MayOrder(now)) return;
  m_right.OnRight(now);
  for (const auto& [engine, held] : m_held) {
    if (now >= held.orders_from) {
      m_starts.OnOrdering(engine, held.fence, now);
    }
  }
  StateOrdering(now);
  ClaimNext(now);
  for (auto it = m_held.begin(); it != m_held.end();) {
    const EndpointId engine = (it++)->first;
    Poll(engine, now);
  }
}

void EngineHolder::ClaimNext(TimeMs now) {
  const DurationMs delay =
      m_context.settings.first_start ? kClaimDelay : kLateClaimDelay;
  if (m_claiming || !m_first_view || now - *m_first_view < delay) return;
  if (now - m_last_claim_check < kClaimInterval) return;
  m_last_claim_check = now;
  const auto engine =
      m_claims.NextClaim(m_context.view.Engines(), m_context.view.HolderIds(),
                         m_context.view.NodeIds(), m_starts.OrderedLately(now),
                         m_context.view.NeverHeldEngines(), now);
  if (!engine) return;
  m_claiming = true;
  m_lease.Claim(
      *engine, [this, engine = *engine](std::optional<RecordWritten> record) {
        m_claiming = false;
        if (!record) {
          m_claims.OnClaimFailed(engine, m_context.clock.Now());
          return;
        }
        if (!m_held.contains(engine)) {
          TakeUp(engine, FencingNumber(record->era, record->revision));
        }
        m_context.view.Apply(*std::move(record), m_context.clock.Now());
      });
}

// Fences that the record names beyond those held do no harm: no record will
// bear them again.
void EngineHolder::StateOrdering(TimeMs now) {
  if (m_stating || now < m_next_statement) return;
  std::set<Epoch> fences;
  for (const auto& [engine, held] : m_held) {
    if (now >= held.orders_from) fences.insert(held.fence);
  }
  const std::set<Epoch> stated =
      m_context.view.OrderingFences(m_context.settings.node);
  if (std::includes(stated.begin(), stated.end(), fences.begin(),
                    fences.end())) {
    return;
  }
  m_stating = true;
  m_next_statement = now + kStatementInterval;
  m_lease.StateOrdering(fences, [this](std::optional<RecordWritten> record) {
    m_stating = false;
    if (!record) return;
    m_context.view.Apply(*std::move(record), m_context.clock.Now());
  });
}

EngineHolder::Held* EngineHolder::FindHeld(const EndpointId& engine,
                                           Epoch fence) {
  const auto it = m_held.find(engine);
  if (it == m_held.end() || it->second.fence != fence) return nullptr;
  return &it->second;
}

void EngineHolder::Poll(const EndpointId& engine, TimeMs now) {
  const auto it = m_held.find(engine);
  if (it == m_held.end() || !MayOrder(now)) return;
  Held& held = it->second;
  EngineHostActions actions = held.host.Poll(now, m_pace);
  const AdapterSet resident = held.host.Resident();
  for (const LoadNotice& notice : actions.notices) {
    const auto place = resident.find(notice.adapter);
    if (place == resident.end()) continue;
    m_notify(notice.requester,
             TellLoaded{engine, notice.adapter, place->second});
  }
  if (m_pace.retire_delay > DurationMs(0)) {
    for (const AdapterRef& adapter : actions.retired) {
      m_announce({m_context.settings.node, engine, adapter});
    }
  }
  if (actions.fetch_report) FetchReport(engine, held);
  if (actions.order) Order(engine, held, *actions.order);
}

void EngineHolder::Order(const EndpointId& engine, const Held& held,
                         const EngineOrder& order) {
  m_context.metrics.orders.Add();
  const Epoch fence = held.fence;
  m_control.Order(held.entry, order,
                  [this, engine, fence, order](OrderOutcome end) {
                    m_context.log.Event("engine_order")
                        .Text("engine", engine.str())
                        .Text("op", order.load ? "load" : "unload")
                        .Text("adapter", ToString(order.adapter))
                        .Number("version", order.version.value())
                        .Number("expected", order.expected_accepted)
                        .Number("fence", order.fence.value())
                        .Text("outcome", ToText(end));
                    if (end == OrderOutcome::kConflict)
                      m_context.metrics.order_conflicts.Add();
                    Held* current = FindHeld(engine, fence);
                    if (!current) return;
                    const TimeMs now = m_context.clock.Now();
                    current->host.OnOrderOutcome(end, now);
                    Poll(engine, now);
                  });
}

void EngineHolder::FetchReport(const EndpointId& engine, const Held& held) {
  const Epoch fence = held.fence;
  m_control.FetchReport(
      held.entry,
      [this, engine, fence](const std::optional<EngineReport>& report) {
        auto line = m_context.log.Event("engine_report");
        line.Text("engine", engine.str());
        if (report) {
          line.Number("accepted", report->orders_accepted)
              .Number("adapters", report->adapters.size())
              .Number("loading", report->loading.size())
              .Number("models", report->models.size());
        } else {
          line.Text("outcome", "no_answer");
        }
        Held* current = FindHeld(engine, fence);
        if (!current) return;
        current->host.OnReport(report, m_context.clock.Now());
      });
}

std::optional<TellQueued> EngineHolder::OnAskLoad(const AskLoad& ask) {
  const auto it = m_held.find(ask.engine);
  if (it == m_held.end()) return std::nullopt;
  const TimeMs now = m_context.clock.Now();
  // The asking node may not know of the newest version yet.
  const AdapterRevision version =
      std::max(ask.version, m_context.view.NewestRevision(ask.adapter));
  // Without an answer, the node asks for another engine.
  if (!it->second.host.CanLoadNow(ask.adapter, version, now)) {
    return std::nullopt;
  }
  LoadRequest request;
  request.adapter = ask.adapter;
  request.version = version;
  request.priority = ask.priority;
  request.requester = ask.node;
  request.demand = ask.demand;
  request.ready_deadline = now + ask.on_time;
  const DurationMs wait = it->second.host.Request(request, now);
  Poll(ask.engine, now);
  return TellQueued{ask.engine, ask.adapter, wait};
}

bool EngineHolder::MayLoad(const EndpointId& engine) const {
  const auto it = m_held.find(engine);
  return it != m_held.end() && it->second.host.can_load() &&
         MayOrder(m_context.clock.Now());
}

std::optional<AdapterRevision> EngineHolder::ResidentVersion(
    const EndpointId& engine, const AdapterRef& adapter) const {
  const auto it = m_held.find(engine);
  if (it == m_held.end()) return std::nullopt;
  if (!adapter.name.empty()) return it->second.host.ResidentVersion(adapter);
  const std::vector<ModelId>& models = it->second.entry.models;
  const bool has_model =
      std::find(models.begin(), models.end(), adapter.model) != models.end();
  return has_model ? std::make_optional(AdapterRevision()) : std::nullopt;
}

bool EngineHolder::HeldLately(const EndpointId& engine,
                              const AdapterRef& adapter) const {
  const auto it = m_held.find(engine);
  return it != m_held.end() && it->second.host.HeldLately(adapter);
}

std::uint32_t EngineHolder::LoadsInFlight(const EndpointId& engine) const {
  const auto it = m_held.find(engine);
  return it == m_held.end() ? 0 : it->second.host.loads_in_flight();
}

void EngineHolder::OnTellMissing(const TellMissing& told) {
  const auto it = m_held.find(told.engine);
  if (it == m_held.end()) return;
  it->second.host.OnMissing(told.adapter, m_context.clock.Now());
}

void EngineHolder::OnTellInUse(const TellInUse& told) {
  OnUsed(told.engine, told.adapter, 0);
}

void EngineHolder::OnUsed(const EndpointId& engine, const AdapterRef& adapter,
                          std::uint32_t requests) {
  const auto it = m_held.find(engine);
  if (it == m_held.end()) return;
  it->second.host.OnUsed(adapter, requests, m_context.clock.Now());
}

std::map<EndpointId, HeldEngineStatus> EngineHolder::Status() const {
  std::map<EndpointId, HeldEngineStatus> status;
  const TimeMs now = m_context.clock.Now();
  for (const auto& [engine, held] : m_held) {
    HeldEngineStatus& item = status[engine];
    item.ordering = MayOrder(now) && held.host.can_load();
    item.loading = held.host.loads_in_flight();
    item.waiting = static_cast<std::uint32_t>(held.host.queued_loads());
    item.adapters = held.host.Resident();
  }
  return status;
}

}  // namespace yuccamoor::fleet
