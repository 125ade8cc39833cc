#include "yuccamoor/coordination/fleet/engine_host.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace yuccamoor::fleet {

namespace {

// Time to load an adapter from the weight store (cold) and from the engine's
// host memory (warm).
constexpr DurationMs kColdLoad{265};
constexpr DurationMs kWarmLoad{35};
// Concurrent adapter loads at full speed: the lower bound, and the number for
// each model per second that the weight store serves.
constexpr double kMinFullSpeedLoads = 8;
constexpr double kFullSpeedLoadsPerModel = 2.5;
// Concurrent adapter loads of one engine.
constexpr std::uint32_t kMaxLoadsInFlight = 4;
// Added to the expected loading time when an engine answers that a recently
// loaded adapter is missing: the load took longer than estimated.
constexpr DurationMs kMissingLoadExtension{60};
constexpr DurationMs kRecentLoad{2'000};
constexpr std::uint32_t kMinMissesForReport = 6;
// Typical duration of the streams of an older version.
constexpr DurationMs kReplaceTime{2'000};
constexpr DurationMs kRequestLifetime{4'000};
constexpr std::size_t kMaxHostMemoryAdapters = 150;

}  // namespace

std::uint32_t FullSpeedLoads(double models_per_second) {
  return static_cast<std::uint32_t>(std::max(
      kMinFullSpeedLoads, models_per_second * kFullSpeedLoadsPerModel));
}

EngineHost::EngineHost(EngineHostOptions options, Epoch fence,
                       TimeMs orders_allowed_from)
    : m_options(std::move(options)),
      m_fence(fence),
      m_orders_allowed_from(orders_allowed_from) {
  Resync(orders_allowed_from);
}

// Schedules a report to read the engine's state again. Reports lag behind, so
// one fetched too soon after an order would not include that order.
void EngineHost::Resync(TimeMs at) {
  m_synced = false;
  m_next_report_at = at;
  if (m_last_accepted) {
    m_next_report_at = std::max(at, *m_last_accepted + kReportLag);
  }
}

DurationMs EngineHost::Request(const LoadRequest& request, TimeMs now) {
  auto it = std::find_if(m_queue.begin(), m_queue.end(),
                         [&](const QueuedLoad& queued) {
                           return queued.adapter == request.adapter;
                         });
  if (it == m_queue.end()) {
    it = m_queue.insert(
        m_queue.end(),
        QueuedLoad{
            request.adapter, request.version, request.priority, now, {}});
  }
  it->version = std::max(it->version, request.version);
  it->priority = std::min(it->priority, request.priority);
  it->requesters[request.requester] = {request.demand, request.ready_deadline,
                                       now};
  const auto slot = m_slots.find(request.adapter);
  if (slot != m_slots.end() &&
      slot->second.state == AdapterSlotState::kRetiring) {
    slot->second.state = AdapterSlotState::kResident;
  }
  return EstimateWait(*it, now);
}

void EngineHost::OnUsed(const AdapterRef& adapter, std::uint32_t requests,
                        TimeMs now) {
  const auto it = m_slots.find(adapter);
  if (it == m_slots.end()) return;
  AdapterSlot& slot = it->second;
  slot.uses = DecayedUses(slot, now) + requests;
  slot.last_used = now;
  if (slot.state == AdapterSlotState::kRetiring)
    slot.state = AdapterSlotState::kResident;
}

void EngineHost::OnMissing(const AdapterRef& adapter, TimeMs now) {
  const auto it = m_slots.find(adapter);
  if (it == m_slots.end()) return;
  AdapterSlot& slot = it->second;
  if (slot.state != AdapterSlotState::kResident) return;
  ++slot.misses;
  const bool recent = now - slot.loaded_at < kRecentLoad;
  if (recent && slot.misses < kMinMissesForReport) {
    slot.state = AdapterSlotState::kLoading;
    slot.ready_at = now + kMissingLoadExtension;
    return;
  }
  if (m_synced) Resync(now);
}

void EngineHost::OnEngineRestart(TimeMs now) {
  m_slots.clear();
  m_in_host_memory.clear();
  m_accepted_orders = 0;
  m_has_model = false;
  m_loadable = false;
  Resync(std::max(now, m_orders_allowed_from));
}

void EngineHost::OnOrderOutcome(OrderOutcome outcome, TimeMs now) {
  assert(m_order_in_flight && "an order was given");
  if (outcome == OrderOutcome::kConflict ||
      outcome == OrderOutcome::kRejected) {
    m_order_in_flight.reset();
    Resync(now + kReportLag);
    return;
  }
  if (m_order_confirms) {
    ApplyConfirmation(m_order_in_flight->adapter, outcome, now);
    m_order_in_flight.reset();
    return;
  }
  if (outcome == OrderOutcome::kUnknown) {
    // The slot is still counted as free. The order can take effect only while
    // the engine's count of accepted orders is unchanged: once the next order
    // is accepted, this one is refused, and if this one took effect first, the
    // next order conflicts.
    m_order_in_flight.reset();
    return;
  }
  m_last_accepted = now;
  if (m_order_in_flight->adapter.name.empty()) {
    m_accepted_orders += outcome == OrderOutcome::kAccepted ? 1 : 0;
    Resync(now + m_options.model_load_time);
  } else if (m_order_in_flight->load) {
    ApplyLoad(outcome, now);
  } else {
    ApplyUnload(outcome, now);
  }
  m_order_in_flight.reset();
}

void EngineHost::ApplyLoad(OrderOutcome outcome, TimeMs now) {
  AdapterSlot& slot = m_slots[m_order_in_flight->adapter];
  const bool replaces = slot.state == AdapterSlotState::kResident;
  slot.version = m_order_in_flight->version;
  slot.last_used = now;
  slot.misses = 0;
  if (outcome == OrderOutcome::kDone) {
    slot.state = AdapterSlotState::kResident;
    slot.loaded_at = now;
    return;
  }
  ++m_accepted_orders;
  if (replaces) {
    slot.state = AdapterSlotState::kReplacing;
    m_next_report_at = std::min(m_next_report_at, now + kPendingPollInterval);
    return;
  }
  slot.state = AdapterSlotState::kLoading;
  slot.ordered_at = now;
  // A check that comes too soon costs an order; a late one holds up requests
  // and further loads.
  slot.ready_at = now + EstimateLoad(m_order_in_flight->adapter) * 9 / 10;
}

void EngineHost::ApplyUnload(OrderOutcome outcome, TimeMs now) {
  ++m_accepted_orders;
  if (outcome == OrderOutcome::kDone) {
    m_slots.erase(m_order_in_flight->adapter);
    return;
  }
  // The adapter still has runs; reports show when they have ended.
  m_slots[m_order_in_flight->adapter].state = AdapterSlotState::kUnloading;
  m_next_report_at = now + kPendingPollInterval;
}

EngineHostActions EngineHost::Poll(TimeMs now,
                                   const FleetConditions& conditions) {
  m_conditions = conditions;
  EngineHostActions actions;
  for (QueuedLoad& queued : m_queue) {
    std::erase_if(queued.requesters, [now](const auto& item) {
      return now - item.second.refreshed_at > kRequestLifetime;
    });
  }
  std::erase_if(m_queue, [](const QueuedLoad& queued) {
    return queued.requesters.empty();
  });
  if (now < m_orders_allowed_from) return actions;
  if (!m_order_in_flight && !m_report_in_flight && now >= m_next_report_at) {
    m_report_in_flight = true;
    actions.fetch_report = true;
  }
  if (!m_synced) return actions;
  CollectNotices(actions.notices);
  RetireLeastUsed(now, actions.retired);
  if (!m_order_in_flight && !m_report_in_flight) {
    // Requests wait for these, so they go first.
    m_order_in_flight = NextConfirmation(now);
    m_order_confirms = m_order_in_flight.has_value();
    if (!m_order_in_flight) m_order_in_flight = NextOrder(now);
    actions.order = m_order_in_flight;
  }
  return actions;
}

bool EngineHost::IsLoaded(const QueuedLoad& queued) const {
  const auto it = m_slots.find(queued.adapter);
  return it != m_slots.end() &&
         it->second.state == AdapterSlotState::kResident &&
         it->second.version >= queued.version;
}

void EngineHost::CollectNotices(std::vector<LoadNotice>& notices) {
  std::erase_if(m_queue, [&](const QueuedLoad& queued) {
    if (!IsLoaded(queued)) return false;
    for (const auto& [node, requester] : queued.requesters) {
      notices.push_back({queued.adapter, node});
    }
    return true;
  });
}

LoadDemand EngineHost::DemandOf(const QueuedLoad& queued) {
  LoadDemand demand;
  demand.priority = queued.priority;
  demand.first_requested_at = queued.requested_at;
  for (const auto& [node, requester] : queued.requesters) {
    demand.requests += requester.demand;
    demand.ready_deadline =
        std::max(demand.ready_deadline, requester.ready_deadline);
  }
  return demand;
}

std::vector<const EngineHost::QueuedLoad*> EngineHost::RankedQueue(
    TimeMs now) const {
  const TimeMs ready = now + kColdLoad;
  std::vector<std::pair<LoadDemand, const QueuedLoad*>> ranked;
  ranked.reserve(m_queue.size());
  for (const QueuedLoad& queued : m_queue) {
    ranked.emplace_back(DemandOf(queued), &queued);
  }
  std::stable_sort(ranked.begin(), ranked.end(),
                   [ready](const auto& a, const auto& b) {
                     return LoadsBefore(a.first, b.first, ready);
                   });
  std::vector<const QueuedLoad*> order;
  order.reserve(ranked.size());
  for (const auto& [demand, queued] : ranked) order.push_back(queued);
  return order;
}

DurationMs EngineHost::EstimateWait(const QueuedLoad& queued,
                                    TimeMs now) const {
  const auto slot = m_slots.find(queued.adapter);
  if (slot != m_slots.end() &&
      slot->second.state == AdapterSlotState::kLoading) {
    return std::max(DurationMs(0), slot->second.ready_at - now);
  }
  if (slot != m_slots.end() &&
      slot->second.state == AdapterSlotState::kReplacing) {
    return kReplaceTime;
  }
  DurationMs wait = std::max(DurationMs(0), m_orders_allowed_from - now);
  std::int64_t cold_ahead = 0;
  for (const QueuedLoad* other : RankedQueue(now)) {
    if (other == &queued) break;
    if (!m_slots.contains(other->adapter) && IsCold(other->adapter)) {
      ++cold_ahead;
    }
  }
  for (const auto& [adapter, busy] : m_slots) {
    if (busy.state == AdapterSlotState::kLoading) ++cold_ahead;
  }
  const DurationMs load = EstimateLoad(queued.adapter);
  if (IsCold(queued.adapter)) wait = wait + kColdLoad * cold_ahead;
  return wait + load;
}

EngineOrder EngineHost::MakeOrder(bool load, const AdapterRef& adapter) const {
  EngineOrder order;
  order.load = load;
  order.adapter = adapter;
  order.expected_accepted = m_accepted_orders;
  order.fence = m_fence;
  return order;
}

std::optional<EngineOrder> EngineHost::NextOrder(TimeMs now) {
  if (!m_has_model) return MakeOrder(true, {m_options.model, ""});
  for (const QueuedLoad* queued : RankedQueue(now)) {
    if (auto order = OrderFor(*queued, now)) return order;
  }
  return UnloadRetired(now);
}

bool EngineHost::MayStartLoad(bool cold) const {
  const std::uint32_t own_loads = loads_in_flight();
  if (own_loads >= kMaxLoadsInFlight) return false;
  // Every engine may always have one cold load in flight, and more only while
  // the weight store serves them at full speed.
  return !cold || own_loads == 0 ||
         m_conditions.max_loads_elsewhere + own_loads <
             m_options.full_speed_loads;
}

std::optional<EngineOrder> EngineHost::OrderFor(const QueuedLoad& queued,
                                                TimeMs now) {
  const auto it = m_slots.find(queued.adapter);
  const bool has_slot = it != m_slots.end();
  if (has_slot && it->second.state != AdapterSlotState::kResident)
    return std::nullopt;
  if (has_slot && IsInUse(it->second, now)) return std::nullopt;
  if (!has_slot && m_slots.size() >= m_options.adapter_slots)
    return std::nullopt;
  if (!MayStartLoad(IsCold(queued.adapter))) return std::nullopt;
  EngineOrder order = MakeOrder(true, queued.adapter);
  order.version = queued.version;
  return order;
}

std::uint32_t EngineHost::loads_in_flight() const {
  std::uint32_t count = 0;
  for (const auto& [adapter, slot] : m_slots) {
    if (slot.state == AdapterSlotState::kLoading) ++count;
  }
  return count;
}

bool EngineHost::IsCold(const AdapterRef& adapter) const {
  return std::find(m_in_host_memory.begin(), m_in_host_memory.end(), adapter) ==
         m_in_host_memory.end();
}

DurationMs EngineHost::EstimateLoad(const AdapterRef& adapter) const {
  if (!IsCold(adapter)) return kWarmLoad;
  const std::uint32_t loads =
      m_conditions.loads_elsewhere + loads_in_flight() + 1;
  if (loads <= m_options.full_speed_loads) return kColdLoad;
  return kColdLoad * loads / m_options.full_speed_loads;
}

void EngineHost::RecordInHostMemory(const AdapterRef& adapter) {
  m_in_host_memory.remove(adapter);
  m_in_host_memory.push_front(adapter);
  if (m_in_host_memory.size() > kMaxHostMemoryAdapters)
    m_in_host_memory.pop_back();
}

}  // namespace yuccamoor::fleet
