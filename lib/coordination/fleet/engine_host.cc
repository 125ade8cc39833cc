#include "yuccamoor/coordination/fleet/engine_host.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace yuccamoor::fleet {

namespace {

// From the weight store, and from the engine's host memory.
constexpr DurationMs kColdLoad{265};
constexpr DurationMs kWarmLoad{35};
// Adapter loads at full speed: at least this many, and this many for each model
// that the weight store serves a second.
constexpr double kLeastFullSpeedLoads = 8;
constexpr double kFullSpeedLoadsPerModel = 2.5;
// Adapters that may be on their way to one engine at once.
constexpr std::uint32_t kMaxTransit = 4;
// An engine says that an adapter is missing: its load took longer than
// expected.
constexpr DurationMs kMissingExtension{60};
constexpr DurationMs kRecentLoad{2'000};
constexpr std::uint32_t kMissesBeforeReport = 6;
// Streams of the older version last about this long.
constexpr DurationMs kReplaceTime{2'000};
constexpr DurationMs kRequestLifetime{4'000};
constexpr std::size_t kHeldAdapters = 150;

}  // namespace

std::uint32_t FullSpeedLoads(double models_per_second) {
  return static_cast<std::uint32_t>(std::max(
      kLeastFullSpeedLoads, models_per_second * kFullSpeedLoadsPerModel));
}

EngineHost::EngineHost(EngineHostOptions options, Epoch fence,
                       TimeMs order_from)
    : m_options(std::move(options)), m_fence(fence), m_order_from(order_from) {
  Resync(order_from);
}

// Reports are old: one that was fetched too early would not count the last
// order.
void EngineHost::Resync(TimeMs at) {
  m_synced = false;
  m_report_at = at;
  if (m_last_accepted) {
    m_report_at = std::max(at, *m_last_accepted + kReportLag);
  }
}

DurationMs EngineHost::Request(const LoadRequest& request, TimeMs now) {
  auto it = std::find_if(m_waiting.begin(), m_waiting.end(),
                         [&](const Waiting& waiting) {
                           return waiting.adapter == request.adapter;
                         });
  if (it == m_waiting.end()) {
    it = m_waiting.insert(
        m_waiting.end(),
        Waiting{request.adapter, request.version, request.priority, now, {}});
  }
  it->version = std::max(it->version, request.version);
  it->priority = std::min(it->priority, request.priority);
  it->requesters[request.requester] = {request.demand, request.on_time_until,
                                       now};
  const auto place = m_places.find(request.adapter);
  if (place != m_places.end() && place->second.state == PlaceState::kRetiring) {
    place->second.state = PlaceState::kResident;
  }
  return EstimateWait(*it, now);
}

void EngineHost::OnUsed(const AdapterRef& adapter, std::uint32_t requests,
                        TimeMs now) {
  const auto it = m_places.find(adapter);
  if (it == m_places.end()) return;
  Place& place = it->second;
  place.uses = DecayedUses(place, now) + requests;
  place.last_used = now;
  if (place.state == PlaceState::kRetiring) place.state = PlaceState::kResident;
}

void EngineHost::OnMissing(const AdapterRef& adapter, TimeMs now) {
  const auto it = m_places.find(adapter);
  if (it == m_places.end()) return;
  Place& place = it->second;
  if (place.state != PlaceState::kResident) return;
  ++place.misses;
  const bool recent = now - place.loaded_at < kRecentLoad;
  if (recent && place.misses < kMissesBeforeReport) {
    place.state = PlaceState::kLoading;
    place.ready_at = now + kMissingExtension;
    return;
  }
  if (m_synced) Resync(now);
}

void EngineHost::OnEngineRestart(TimeMs now) {
  m_places.clear();
  m_held.clear();
  m_accepted = 0;
  m_has_model = false;
  m_loadable = false;
  Resync(std::max(now, m_order_from));
}

void EngineHost::OnOrderEnd(OrderEnd end, TimeMs now) {
  assert(m_order && "an order was given");
  if (end == OrderEnd::kConflict || end == OrderEnd::kRejected) {
    m_order.reset();
    Resync(now + kReportLag);
    return;
  }
  if (end == OrderEnd::kUnknown) {
    // The place stays free in the books: the order can only take effect while
    // the count of accepted orders is unchanged. The next order that is
    // accepted rules it out; if it came first, that one conflicts.
    m_order.reset();
    return;
  }
  m_last_accepted = now;
  if (m_order->adapter.name.empty()) {
    m_accepted += end == OrderEnd::kAccepted ? 1 : 0;
    Resync(now + m_options.model_load);
  } else if (m_order->load) {
    ApplyLoad(end, now);
  } else {
    ApplyUnload(end, now);
  }
  m_order.reset();
}

void EngineHost::ApplyLoad(OrderEnd end, TimeMs now) {
  Place& place = m_places[m_order->adapter];
  const bool replaces = place.state == PlaceState::kResident;
  place.version = m_order->version;
  place.last_used = now;
  place.misses = 0;
  if (end == OrderEnd::kDone) {
    place.state = PlaceState::kResident;
    place.loaded_at = now;
    return;
  }
  ++m_accepted;
  if (replaces) {
    place.state = PlaceState::kReplacing;
    m_report_at = std::min(m_report_at, now + kPendingCheck);
    return;
  }
  place.state = PlaceState::kLoading;
  place.ready_at = now + EstimateLoad(m_order->adapter);
}

void EngineHost::ApplyUnload(OrderEnd end, TimeMs now) {
  ++m_accepted;
  if (end == OrderEnd::kDone) {
    m_places.erase(m_order->adapter);
    return;
  }
  // It still has runs; reports show when they have ended.
  m_places[m_order->adapter].state = PlaceState::kUnloading;
  m_report_at = now + kPendingCheck;
}

EngineHostActions EngineHost::Poll(TimeMs now, const FleetPace& pace) {
  m_pace = pace;
  EngineHostActions actions;
  for (Waiting& waiting : m_waiting) {
    std::erase_if(waiting.requesters, [now](const auto& item) {
      return now - item.second.refreshed > kRequestLifetime;
    });
  }
  std::erase_if(m_waiting, [](const Waiting& waiting) {
    return waiting.requesters.empty();
  });
  if (now < m_order_from) return actions;
  if (!m_order && !m_report_pending && now >= m_report_at) {
    m_report_pending = true;
    actions.fetch_report = true;
  }
  if (!m_synced) return actions;
  FinishLoads(now);
  CollectNotices(actions.notices);
  RetireSpares(now, actions.retired);
  if (!m_order && !m_report_pending) {
    m_order = NextOrder(now);
    actions.order = m_order;
  }
  return actions;
}

void EngineHost::FinishLoads(TimeMs now) {
  for (auto& [adapter, place] : m_places) {
    if (place.state != PlaceState::kLoading || now < place.ready_at) continue;
    place.state = PlaceState::kResident;
    if (place.misses == 0) place.loaded_at = now;
    place.last_used = now;
    RememberHeld(adapter);
  }
}

bool EngineHost::IsInPlace(const Waiting& waiting) const {
  const auto it = m_places.find(waiting.adapter);
  return it != m_places.end() && it->second.state == PlaceState::kResident &&
         it->second.version >= waiting.version;
}

void EngineHost::CollectNotices(std::vector<LoadNotice>& notices) {
  std::erase_if(m_waiting, [&](const Waiting& waiting) {
    if (!IsInPlace(waiting)) return false;
    for (const auto& [node, requester] : waiting.requesters) {
      notices.push_back({waiting.adapter, node});
    }
    return true;
  });
}

LoadDemand EngineHost::DemandOf(const Waiting& waiting) {
  LoadDemand demand;
  demand.priority = waiting.priority;
  demand.first_requested_at = waiting.asked;
  for (const auto& [node, requester] : waiting.requesters) {
    demand.requests += requester.demand;
    demand.ready_deadline =
        std::max(demand.ready_deadline, requester.on_time_until);
  }
  return demand;
}

std::vector<const EngineHost::Waiting*> EngineHost::RankedWaiting(
    TimeMs now) const {
  const TimeMs ready = now + kColdLoad;
  std::vector<std::pair<LoadDemand, const Waiting*>> ranked;
  ranked.reserve(m_waiting.size());
  for (const Waiting& waiting : m_waiting) {
    ranked.emplace_back(DemandOf(waiting), &waiting);
  }
  std::stable_sort(ranked.begin(), ranked.end(),
                   [ready](const auto& a, const auto& b) {
                     return LoadsBefore(a.first, b.first, ready);
                   });
  std::vector<const Waiting*> order;
  order.reserve(ranked.size());
  for (const auto& [demand, waiting] : ranked) order.push_back(waiting);
  return order;
}

DurationMs EngineHost::EstimateWait(const Waiting& waiting, TimeMs now) const {
  const auto place = m_places.find(waiting.adapter);
  if (place != m_places.end() && place->second.state == PlaceState::kLoading) {
    return std::max(DurationMs(0), place->second.ready_at - now);
  }
  if (place != m_places.end() &&
      place->second.state == PlaceState::kReplacing) {
    return kReplaceTime;
  }
  DurationMs wait = std::max(DurationMs(0), m_order_from - now);
  std::int64_t cold_ahead = 0;
  for (const Waiting* other : RankedWaiting(now)) {
    if (other == &waiting) break;
    if (!m_places.contains(other->adapter) && IsCold(other->adapter)) {
      ++cold_ahead;
    }
  }
  for (const auto& [adapter, busy] : m_places) {
    if (busy.state == PlaceState::kLoading) ++cold_ahead;
  }
  const DurationMs load = EstimateLoad(waiting.adapter);
  if (IsCold(waiting.adapter)) wait = wait + kColdLoad * cold_ahead;
  return wait + load;
}

EngineOrder EngineHost::MakeOrder(bool load, const AdapterRef& adapter) const {
  EngineOrder order;
  order.load = load;
  order.adapter = adapter;
  order.expected_accepted = m_accepted;
  order.fence = m_fence;
  return order;
}

std::optional<EngineOrder> EngineHost::NextOrder(TimeMs now) {
  if (!m_has_model) return MakeOrder(true, {m_options.model, ""});
  for (const Waiting* waiting : RankedWaiting(now)) {
    if (auto order = OrderFor(*waiting, now)) return order;
  }
  return UnloadRetired(now);
}

bool EngineHost::MayStartLoad(bool cold) const {
  const std::uint32_t own = loading();
  if (own >= kMaxTransit) return false;
  // One at a time is each engine's own; more only while the weight store
  // serves them at full speed.
  return !cold || own == 0 ||
         m_pace.loads_elsewhere + own < m_options.full_speed_loads;
}

std::optional<EngineOrder> EngineHost::OrderFor(const Waiting& waiting,
                                                TimeMs now) {
  const auto it = m_places.find(waiting.adapter);
  const bool known = it != m_places.end();
  if (known && it->second.state != PlaceState::kResident) return std::nullopt;
  if (known && IsInUse(it->second, now)) return std::nullopt;
  if (!known && m_places.size() >= m_options.adapter_slots) return std::nullopt;
  if (!MayStartLoad(IsCold(waiting.adapter))) return std::nullopt;
  EngineOrder order = MakeOrder(true, waiting.adapter);
  order.version = waiting.version;
  return order;
}

std::uint32_t EngineHost::loading() const {
  std::uint32_t count = 0;
  for (const auto& [adapter, place] : m_places) {
    if (place.state == PlaceState::kLoading) ++count;
  }
  return count;
}

bool EngineHost::IsCold(const AdapterRef& adapter) const {
  return std::find(m_held.begin(), m_held.end(), adapter) == m_held.end();
}

DurationMs EngineHost::EstimateLoad(const AdapterRef& adapter) const {
  if (!IsCold(adapter)) return kWarmLoad;
  const std::uint32_t loads = m_pace.loads_elsewhere + loading() + 1;
  if (loads <= m_options.full_speed_loads) return kColdLoad;
  return kColdLoad * loads / m_options.full_speed_loads;
}

void EngineHost::RememberHeld(const AdapterRef& adapter) {
  m_held.remove(adapter);
  m_held.push_front(adapter);
  if (m_held.size() > kHeldAdapters) m_held.pop_back();
}

}  // namespace yuccamoor::fleet
