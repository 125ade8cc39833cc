#include <algorithm>

#include "yuccamoor/coordination/fleet/engine_host.h"

namespace yuccamoor::fleet {

namespace {

// A load that is not complete yet is checked again after the time that it has
// taken so far, divided by this.
constexpr std::int64_t kChecksPerLoadTime = 20;
constexpr DurationMs kMinCheckInterval{10};

}  // namespace

// Returns the repeated order of the load that should have been complete for
// longest. An engine that holds the adapter answers that the order is done; one
// that still loads it does not count the order.
std::optional<EngineOrder> EngineHost::NextConfirmation(TimeMs now) const {
  const std::pair<const AdapterRef, AdapterSlot>* due = nullptr;
  for (const auto& item : m_slots) {
    const AdapterSlot& slot = item.second;
    if (slot.state != AdapterSlotState::kLoading || now < slot.ready_at) {
      continue;
    }
    if (!due || slot.ready_at < due->second.ready_at) due = &item;
  }
  if (!due) return std::nullopt;
  EngineOrder order = MakeOrder(true, due->first);
  order.version = due->second.version;
  return order;
}

void EngineHost::ApplyConfirmation(const AdapterRef& adapter,
                                   OrderOutcome outcome, TimeMs now) {
  const auto it = m_slots.find(adapter);
  if (it == m_slots.end()) return;
  AdapterSlot& slot = it->second;
  if (outcome == OrderOutcome::kAccepted) {
    const DurationMs age = now - slot.ordered_at;
    slot.ready_at = now + std::max(kMinCheckInterval,
                                   DurationMs(age.ms() / kChecksPerLoadTime));
    return;
  }
  // An engine that does not answer orders may serve requests all the same; one
  // that lacks the adapter answers them as not run.
  slot.state = AdapterSlotState::kResident;
  if (slot.misses == 0) slot.loaded_at = now;
  slot.last_used = now;
  RecordInHostMemory(adapter);
}

}  // namespace yuccamoor::fleet
