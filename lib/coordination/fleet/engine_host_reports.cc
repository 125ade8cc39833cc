#include <algorithm>
#include <iterator>
#include <utility>

#include "yuccamoor/coordination/fleet/engine_host.h"

namespace yuccamoor::fleet {

namespace {
constexpr DurationMs kReportRetry{400};
}  // namespace

void EngineHost::OnReport(const std::optional<EngineReport>& report,
                          TimeMs now) {
  m_report_pending = false;
  if (!report) {
    m_report_at = now + kReportRetry;
    return;
  }
  if (m_synced) {
    TakeFinished(*report, now);
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
      place.ready_at = now + EstimateLoad(adapter);
      if (known == m_places.end()) place.loaded_at = now;
      places[adapter] = place;
      RememberHeld(adapter);
    }
  };
  adopt(report->adapters, PlaceState::kResident);
  adopt(report->loading, PlaceState::kLoading);
  KeepPending(*report, places);
  m_places = std::move(places);
  m_has_model = std::find(report->models.begin(), report->models.end(),
                          m_options.model) != report->models.end();
  if (!m_has_model && report->order_in_progress) {
    // The model's weights are on their way.
    m_report_at = now + kReportLag;
    return;
  }
  m_accepted = report->orders_accepted;
  m_synced = true;
  m_loadable = m_has_model;
  m_report_at = TimeMs::Never();
  TakeFinished(*report, now);
}

// Unloads and replacements wait for runs to end. A report that still shows the
// adapter as it was does not mean that the order was lost, and giving it again
// would not count as one more accepted order.
void EngineHost::KeepPending(const EngineReport& report,
                             std::map<AdapterRef, Place>& places) const {
  for (auto& [adapter, place] : places) {
    const auto known = m_places.find(adapter);
    if (known == m_places.end()) continue;
    const Place& before = known->second;
    const auto reported = report.adapters.find(adapter);
    const bool older =
        reported != report.adapters.end() && reported->second < before.version;
    if (before.state == PlaceState::kUnloading ||
        before.state == PlaceState::kRetiring) {
      place.state = before.state;
    } else if (before.state == PlaceState::kReplacing && older) {
      place = before;
    }
  }
}

// Takes the ends of unloads and replacements that waited for runs.
void EngineHost::TakeFinished(const EngineReport& report, TimeMs now) {
  std::erase_if(m_places, [&](const auto& item) {
    return item.second.state == PlaceState::kUnloading &&
           !report.adapters.contains(item.first);
  });
  TakeReplaced(report, now);
  m_report_at = TimeMs::Never();
  for (const auto& [adapter, place] : m_places) {
    const bool pending = place.state == PlaceState::kUnloading ||
                         place.state == PlaceState::kReplacing;
    if (pending) m_report_at = now + kPendingCheck;
  }
}

void EngineHost::TakeReplaced(const EngineReport& report, TimeMs now) {
  for (auto it = m_places.begin(); it != m_places.end();) {
    auto& [adapter, place] = *it;
    const auto reported = report.adapters.find(adapter);
    const bool there = reported != report.adapters.end();
    const bool pending = place.state == PlaceState::kReplacing;
    if (pending && there && reported->second >= place.version) {
      place.state = PlaceState::kResident;
      place.loaded_at = now;
      RememberHeld(adapter);
    }
    const bool gone = pending && !there && !report.loading.contains(adapter) &&
                      m_last_accepted && now - *m_last_accepted > kReportLag;
    it = gone ? m_places.erase(it) : std::next(it);
  }
}

}  // namespace yuccamoor::fleet
