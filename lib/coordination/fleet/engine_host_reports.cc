#include <algorithm>
#include <iterator>
#include <utility>

#include "yuccamoor/coordination/fleet/engine_host.h"

namespace yuccamoor::fleet {

namespace {
constexpr DurationMs kReportRetryDelay{400};
}  // namespace

void EngineHost::OnReport(const std::optional<EngineReport>& report,
                          TimeMs now) {
  m_report_in_flight = false;
  if (!report) {
    m_next_report_at = now + kReportRetryDelay;
    return;
  }
  if (m_synced) {
    ApplyCompletions(*report, now);
    return;
  }
  std::map<AdapterRef, AdapterSlot> slots;
  const auto adopt = [&](const AdapterSet& adapters, AdapterSlotState state) {
    for (const auto& [adapter, version] : adapters) {
      const auto known = m_slots.find(adapter);
      AdapterSlot slot = known == m_slots.end() ? AdapterSlot() : known->second;
      slot.state = state;
      slot.version = version;
      slot.misses = 0;
      slot.ready_at = now + EstimateLoad(adapter);
      if (known == m_slots.end()) slot.loaded_at = now;
      slots[adapter] = slot;
      RecordInHostMemory(adapter);
    }
  };
  adopt(report->adapters, AdapterSlotState::kResident);
  adopt(report->loading, AdapterSlotState::kLoading);
  PreservePending(*report, slots);
  m_slots = std::move(slots);
  m_has_model = std::find(report->models.begin(), report->models.end(),
                          m_options.model) != report->models.end();
  if (!m_has_model && report->order_in_progress) {
    // The model's weights are on their way.
    m_next_report_at = now + kReportLag;
    return;
  }
  m_accepted_orders = report->orders_accepted;
  m_synced = true;
  m_loadable = m_has_model;
  m_next_report_at = TimeMs::Never();
  ApplyCompletions(*report, now);
}

// Unloads and replacements wait for runs to end. A report that still shows the
// adapter as it was does not mean that the order was lost, and giving it again
// would not count as one more accepted order.
void EngineHost::PreservePending(
    const EngineReport& report,
    std::map<AdapterRef, AdapterSlot>& slots) const {
  for (auto& [adapter, slot] : slots) {
    const auto known = m_slots.find(adapter);
    if (known == m_slots.end()) continue;
    const AdapterSlot& previous = known->second;
    const auto reported = report.adapters.find(adapter);
    const bool older = reported != report.adapters.end() &&
                       reported->second < previous.version;
    if (previous.state == AdapterSlotState::kUnloading ||
        previous.state == AdapterSlotState::kRetiring) {
      slot.state = previous.state;
    } else if (previous.state == AdapterSlotState::kReplacing && older) {
      slot = previous;
    }
  }
}

// Takes the ends of unloads and replacements that waited for runs.
void EngineHost::ApplyCompletions(const EngineReport& report, TimeMs now) {
  std::erase_if(m_slots, [&](const auto& item) {
    return item.second.state == AdapterSlotState::kUnloading &&
           !report.adapters.contains(item.first);
  });
  ApplyReplacements(report, now);
  m_next_report_at = TimeMs::Never();
  for (const auto& [adapter, slot] : m_slots) {
    const bool pending = slot.state == AdapterSlotState::kUnloading ||
                         slot.state == AdapterSlotState::kReplacing;
    if (pending) m_next_report_at = now + kPendingPollInterval;
  }
}

void EngineHost::ApplyReplacements(const EngineReport& report, TimeMs now) {
  for (auto it = m_slots.begin(); it != m_slots.end();) {
    auto& [adapter, slot] = *it;
    const auto reported = report.adapters.find(adapter);
    const bool present = reported != report.adapters.end();
    const bool pending = slot.state == AdapterSlotState::kReplacing;
    if (pending && present && reported->second >= slot.version) {
      slot.state = AdapterSlotState::kResident;
      slot.loaded_at = now;
      RecordInHostMemory(adapter);
    }
    const bool lost = pending && !present &&
                      !report.loading.contains(adapter) && m_last_accepted &&
                      now - *m_last_accepted > kReportLag;
    it = lost ? m_slots.erase(it) : std::next(it);
  }
}

}  // namespace yuccamoor::fleet
