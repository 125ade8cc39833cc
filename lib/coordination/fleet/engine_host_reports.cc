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
      if (known == m_slots.end()) {
        slot.loaded_at = now;
        slot.ordered_at = now;
      }
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
    // The model's weights are being loaded.
    m_next_report_at = now + kReportLag;
    return;
  }
  m_accepted_orders = report->orders_accepted;
  m_synced = true;
  m_loadable = m_has_model;
  m_next_report_at = TimeMs::Never();
  ApplyCompletions(*report, now);
}

// Keeps the state of unloads, retirements and replacements that are not yet
// complete. Unloads and replacements wait for runs to end, so a report that
// still shows the old state of the adapter does not mean that the order was
// lost, and the engine would not count a repeated order as another accepted
// one.
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

// Applies the completion of unloads and replacements that waited for runs to
// end.
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
