#include "yuccamoor/coordination/fleet/engine_host.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace yuccamoor::fleet {

namespace {

// From the weight store, and from the engine's host memory.
constexpr DurationMs kColdLoad{265};
constexpr DurationMs kWarmLoad{35};
// Loads over all engines that the weight store serves at full speed.
constexpr std::uint32_t kFullSpeedLoads = 8;
// Adapters that may be on their way to one engine at once.
constexpr std::uint32_t kMaxTransit = 4;
// Loads from the weight store that one engine starts at once, so that all
// engines together stay near full speed.
constexpr std::uint32_t kMaxColdTransit = 2;
// An engine says that an adapter is missing: its load took longer than
// expected.
constexpr DurationMs kMissingExtension{60};
constexpr DurationMs kRecentLoad{2'000};
constexpr std::uint32_t kMissesBeforeReport = 6;
// A report shows the state of some hundred milliseconds ago.
constexpr DurationMs kReportLag{350};
constexpr DurationMs kReportRetry{400};
constexpr DurationMs kUnloadCheck{700};
constexpr DurationMs kUnknownOrderPause{300};
// An adapter that was used this recently may still have runs.
constexpr DurationMs kInUseTime{650};
constexpr double kUseHalfLifeMs = 8'000;
constexpr DurationMs kRequestLifetime{2'500};
constexpr std::size_t kHeldAdapters = 150;
// What a step of priority is worth in waiting time.
constexpr DurationMs kPriorityStep{100};

}  // namespace

EngineHost::EngineHost(EngineHostOptions options, Epoch fence,
                       TimeMs order_from)
    : m_options(std::move(options)), m_fence(fence), m_order_from(order_from) {
  Resync(order_from);
}

void EngineHost::Resync(TimeMs at) {
  m_synced = false;
  m_report_at = at;
}

void EngineHost::Request(const LoadRequest& request, TimeMs now) {
  for (Waiting& waiting : m_requests) {
    if (waiting.request.adapter != request.adapter) continue;
    if (waiting.request.requester != request.requester) continue;
    waiting.request.version =
        std::max(waiting.request.version, request.version);
    waiting.request.priority =
        std::min(waiting.request.priority, request.priority);
    waiting.refreshed = now;
    return;
  }
  m_requests.push_back({request, now, now});
}

void EngineHost::OnUsed(const AdapterRef& adapter, std::uint32_t requests,
                        TimeMs now) {
  const auto it = m_places.find(adapter);
  if (it == m_places.end()) return;
  Place& place = it->second;
  place.uses = DecayedUses(place, now) + requests;
  place.last_used = now;
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
  Resync(std::max(now, m_order_from));
}

void EngineHost::OnReport(const std::optional<EngineReport>& report,
                          TimeMs now) {
  m_report_pending = false;
  if (!report) {
    m_report_at = now + kReportRetry;
    return;
  }
  if (report->order_in_progress) {
    m_report_at = now + kReportLag;
    return;
  }
  std::map<AdapterRef, Place> places;
  const auto adopt = [&](const AdapterSet& adapters, PlaceState state) {
    for (const auto& [adapter, version] : adapters) {
      const auto known = m_places.find(adapter);
      Place place = known == m_places.end() ? Place() : known->second;
      place.state = state;
      place.version = version;
      place.misses = 0;
      place.ready_at = now + kColdLoad;
      if (known == m_places.end()) place.loaded_at = now;
      places[adapter] = place;
      RememberHeld(adapter);
    }
  };
  adopt(report->adapters, PlaceState::kResident);
  adopt(report->loading, PlaceState::kLoading);
  for (auto& [adapter, place] : places) {
    const auto known = m_places.find(adapter);
    if (known == m_places.end()) continue;
    if (known->second.state == PlaceState::kUnloading) {
      place.state = PlaceState::kUnloading;
    }
  }
  m_places = std::move(places);
  m_has_model = std::find(report->models.begin(), report->models.end(),
                          m_options.model) != report->models.end();
  m_accepted = report->orders_accepted;
  m_synced = true;
  const bool unloading =
      std::any_of(m_places.begin(), m_places.end(), [](const auto& item) {
        return item.second.state == PlaceState::kUnloading;
      });
  m_report_at = unloading ? now + kUnloadCheck : TimeMs::Never();
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
    // the count of accepted orders is unchanged, and then every later order
    // conflicts until the next report.
    m_order.reset();
    m_retry_at = now + kUnknownOrderPause;
    Resync(now + kReportLag);
    return;
  }
  if (m_order->adapter.name.empty()) {
    m_accepted += end == OrderEnd::kAccepted ? 1 : 0;
    m_model_ready_at = now + m_options.model_load;
    Resync(m_model_ready_at);
  } else if (m_order->load) {
    ApplyLoad(end, now);
  } else {
    ApplyUnload(end);
  }
  m_order.reset();
}

void EngineHost::ApplyLoad(OrderEnd end, TimeMs now) {
  Place& place = m_places[m_order->adapter];
  place.version = m_order->version;
  place.last_used = now;
  place.misses = 0;
  if (end == OrderEnd::kDone) {
    place.state = PlaceState::kResident;
    place.loaded_at = now;
    return;
  }
  ++m_accepted;
  place.state = PlaceState::kLoading;
  place.ready_at = now + EstimateLoad(m_order->adapter);
}

void EngineHost::ApplyUnload(OrderEnd end) {
  ++m_accepted;
  if (end == OrderEnd::kDone) {
    m_places.erase(m_order->adapter);
    return;
  }
  m_places[m_order->adapter].state = PlaceState::kUnloading;
}

EngineHostActions EngineHost::Poll(TimeMs now, std::uint32_t loads_elsewhere) {
  m_loads_elsewhere = loads_elsewhere;
  EngineHostActions actions;
  std::erase_if(m_requests, [now](const Waiting& waiting) {
    return now - waiting.refreshed > kRequestLifetime;
  });
  if (now < m_order_from) return actions;
  if (!m_order && !m_report_pending && now >= m_report_at) {
    m_report_pending = true;
    actions.fetch_report = true;
  }
  if (!m_synced) return actions;
  FinishLoads(now);
  CollectNotices(actions.notices);
  if (!m_order && now >= m_retry_at && !m_report_pending) {
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

bool EngineHost::IsInPlace(const LoadRequest& request) const {
  const auto it = m_places.find(request.adapter);
  return it != m_places.end() && it->second.state == PlaceState::kResident &&
         it->second.version >= request.version;
}

void EngineHost::CollectNotices(std::vector<LoadNotice>& notices) {
  std::erase_if(m_requests, [&](const Waiting& waiting) {
    if (!IsInPlace(waiting.request)) return false;
    notices.push_back({waiting.request.adapter, waiting.request.requester});
    return true;
  });
}

std::optional<EngineOrder> EngineHost::NextOrder(TimeMs now) {
  if (!m_has_model) {
    EngineOrder order;
    order.adapter = {m_options.model, ""};
    order.expected_accepted = m_accepted;
    order.fence = m_fence;
    return order;
  }
  std::vector<const Waiting*> waiting;
  for (const Waiting& item : m_requests) waiting.push_back(&item);
  const auto rank = [](const Waiting* item) {
    return item->asked + kPriorityStep * item->request.priority;
  };
  std::stable_sort(waiting.begin(), waiting.end(),
                   [&](const Waiting* a, const Waiting* b) {
                     return rank(a) < rank(b);
                   });
  for (const Waiting* item : waiting) {
    if (auto order = OrderFor(item->request, now)) return order;
  }
  return std::nullopt;
}

std::optional<EngineOrder> EngineHost::OrderFor(const LoadRequest& request,
                                                TimeMs now) {
  const auto it = m_places.find(request.adapter);
  const bool known = it != m_places.end();
  if (known && it->second.state != PlaceState::kResident) return std::nullopt;
  const bool cold = EstimateLoad(request.adapter) > kWarmLoad;
  if (loading() >= (cold ? kMaxColdTransit : kMaxTransit)) return std::nullopt;
  if (!known && m_places.size() >= m_options.adapter_slots) {
    return UnloadVictim(now);
  }
  EngineOrder order;
  order.adapter = request.adapter;
  order.version = request.version;
  order.expected_accepted = m_accepted;
  order.fence = m_fence;
  return order;
}

std::optional<EngineOrder> EngineHost::UnloadVictim(TimeMs now) {
  const AdapterRef* victim = nullptr;
  double least = 0;
  for (const auto& [adapter, place] : m_places) {
    // One unload makes room for one load at a time.
    if (place.state == PlaceState::kUnloading) return std::nullopt;
    if (place.state != PlaceState::kResident) continue;
    if (now - place.last_used < kInUseTime) continue;
    const bool wanted =
        std::any_of(m_requests.begin(), m_requests.end(),
                    [&adapter = adapter](const Waiting& waiting) {
                      return waiting.request.adapter == adapter;
                    });
    if (wanted) continue;
    const double uses = DecayedUses(place, now);
    if (victim && uses >= least) continue;
    victim = &adapter;
    least = uses;
  }
  if (!victim) return std::nullopt;
  EngineOrder order;
  order.load = false;
  order.adapter = *victim;
  order.expected_accepted = m_accepted;
  order.fence = m_fence;
  return order;
}

AdapterSet EngineHost::Resident() const {
  AdapterSet adapters;
  for (const auto& [adapter, place] : m_places) {
    if (place.state == PlaceState::kResident) {
      adapters[adapter] = place.version;
    }
  }
  return adapters;
}

std::uint32_t EngineHost::loading() const {
  std::uint32_t count = 0;
  for (const auto& [adapter, place] : m_places) {
    if (place.state == PlaceState::kLoading) ++count;
  }
  return count;
}

DurationMs EngineHost::EstimateLoad(const AdapterRef& adapter) const {
  if (std::find(m_held.begin(), m_held.end(), adapter) != m_held.end()) {
    return kWarmLoad;
  }
  const std::uint32_t loads = m_loads_elsewhere + loading() + 1;
  if (loads <= kFullSpeedLoads) return kColdLoad;
  return kColdLoad * loads / kFullSpeedLoads;
}

void EngineHost::RememberHeld(const AdapterRef& adapter) {
  m_held.remove(adapter);
  m_held.push_front(adapter);
  if (m_held.size() > kHeldAdapters) m_held.pop_back();
}

double EngineHost::DecayedUses(const Place& place, TimeMs now) const {
  const auto age = static_cast<double>((now - place.last_used).ms());
  return place.uses * std::exp2(-age / kUseHalfLifeMs);
}

}  // namespace yuccamoor::fleet
