#include <algorithm>
#include <cmath>

#include "yuccamoor/coordination/fleet/engine_host.h"

namespace yuccamoor::fleet {

namespace {

constexpr double kUseHalfLifeMs = 8'000;
// A node's status may arrive this much later than the status interval.
constexpr DurationMs kMaxStatusDelay{150};
// An adapter used within this time is likely to be used again.
constexpr DurationMs kRecentUse{650};
// Slots are kept free so that a load does not wait for an unload: one for every
// kSlotsPerFreeSlot slots of the engine, at most kMaxFreeSlots.
constexpr std::size_t kMaxFreeSlots = 1;
constexpr std::size_t kSlotsPerFreeSlot = 8;

}  // namespace

AdapterSet EngineHost::Resident() const {
  AdapterSet adapters;
  for (const auto& [adapter, slot] : m_slots) {
    if (slot.state == AdapterSlotState::kResident) {
      adapters[adapter] = slot.version;
    }
  }
  return adapters;
}

std::optional<AdapterRevision> EngineHost::ResidentVersion(
    const AdapterRef& adapter) const {
  const auto it = m_slots.find(adapter);
  if (it == m_slots.end()) return std::nullopt;
  if (it->second.state != AdapterSlotState::kResident) return std::nullopt;
  return it->second.version;
}

bool EngineHost::IsRequested(const AdapterRef& adapter) const {
  return std::any_of(
      m_queue.begin(), m_queue.end(),
      [&](const QueuedLoad& queued) { return queued.adapter == adapter; });
}

// Each node lists what it runs in every status, so an adapter that was not
// listed for a whole interval has no runs.
bool EngineHost::IsInUse(const AdapterSlot& slot, TimeMs now) const {
  const DurationMs status_timeout =
      m_conditions.status_interval + kMaxStatusDelay;
  return now - slot.last_used < std::max(kRecentUse, status_timeout);
}

bool EngineHost::CanLoadNow(const AdapterRef& adapter, AdapterRevision version,
                            TimeMs now) const {
  const auto it = m_slots.find(adapter);
  if (it == m_slots.end() || it->second.version >= version) return true;
  const AdapterSlotState state = it->second.state;
  return state == AdapterSlotState::kLoading || !IsInUse(it->second, now);
}

std::size_t EngineHost::SlotsToKeepFree() const {
  const std::size_t free_slots =
      std::min(kMaxFreeSlots, m_options.adapter_slots / kSlotsPerFreeSlot);
  const bool needs_slot = std::any_of(
      m_queue.begin(), m_queue.end(), [this](const QueuedLoad& queued) {
        return !m_slots.contains(queued.adapter);
      });
  return std::max<std::size_t>(free_slots, needs_slot ? 1 : 0);
}

// Retires the least used adapters until enough slots are free or being freed.
void EngineHost::RetireLeastUsed(TimeMs now, std::vector<AdapterRef>& retired) {
  const auto leaving = static_cast<std::size_t>(
      std::count_if(m_slots.begin(), m_slots.end(), [](const auto& item) {
        return item.second.state == AdapterSlotState::kRetiring ||
               item.second.state == AdapterSlotState::kUnloading;
      }));
  const std::size_t kept = m_slots.size() - leaving;
  const std::size_t to_free = SlotsToKeepFree();
  for (std::size_t i = m_options.adapter_slots; i < kept + to_free; ++i) {
    const auto victim = FindVictim(now);
    if (victim == m_slots.end()) return;
    victim->second.state = AdapterSlotState::kRetiring;
    victim->second.retired_at = now;
    retired.push_back(victim->first);
  }
}

std::map<AdapterRef, EngineHost::AdapterSlot>::iterator EngineHost::FindVictim(
    TimeMs now) {
  auto victim = m_slots.end();
  double least_uses = 0;
  for (auto it = m_slots.begin(); it != m_slots.end(); ++it) {
    const AdapterSlot& slot = it->second;
    if (slot.state != AdapterSlotState::kResident) continue;
    if (IsInUse(slot, now) || IsRequested(it->first)) continue;
    const double uses = DecayedUses(slot, now);
    if (victim != m_slots.end() && uses >= least_uses) continue;
    victim = it;
    least_uses = uses;
  }
  return victim;
}

bool EngineHost::WaitsForRuns() const {
  return std::any_of(m_slots.begin(), m_slots.end(), [](const auto& item) {
    return item.second.state == AdapterSlotState::kUnloading ||
           item.second.state == AdapterSlotState::kReplacing;
  });
}

// Returns an unload order for the adapter that has been retired longest, or
// std::nullopt if none can be unloaded yet. An engine carries out no other
// unload while one waits for runs, so an adapter is unloaded only when no node
// can still be sending requests for it.
std::optional<EngineOrder> EngineHost::UnloadRetired(TimeMs now) const {
  if (WaitsForRuns()) return std::nullopt;
  const AdapterRef* longest_retired = nullptr;
  TimeMs since;
  for (const auto& [adapter, slot] : m_slots) {
    if (slot.state != AdapterSlotState::kRetiring) continue;
    if (now - slot.retired_at < m_conditions.retire_delay) continue;
    if (longest_retired && slot.retired_at >= since) continue;
    longest_retired = &adapter;
    since = slot.retired_at;
  }
  if (!longest_retired) return std::nullopt;
  return MakeOrder(false, *longest_retired);
}

double EngineHost::DecayedUses(const AdapterSlot& slot, TimeMs now) const {
  const auto age = static_cast<double>((now - slot.last_used).ms());
  return slot.uses * std::exp2(-age / kUseHalfLifeMs);
}

}  // namespace yuccamoor::fleet
