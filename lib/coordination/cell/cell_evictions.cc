/// \file
/// \brief A cell leader on engines that ignore fencing numbers: evictions are
/// announced, and what an earlier leader announced is not used.

#include <algorithm>
#include <utility>

#include "yuccamoor/coordination/cell/cell_leader.h"

namespace yuccamoor {

void CellLeader::OnClearance(EvictionClearance clearance, TimeMs now) {
  if (m_fencing) return;
  const bool settled = m_clearance.barred != clearance.barred ||
                       m_clearance.all_barred != clearance.all_barred;
  m_clearance = std::move(clearance);
  if (!settled) return;
  // An eviction that came late may have emptied a slot since the last report.
  for (auto& [id, guard] : m_workers) {
    guard.trusted_from = std::max(guard.trusted_from, now);
  }
}

std::set<SlotKey> CellLeader::EvictionsToAnnounce() const {
  std::set<SlotKey> evictions;
  if (m_fencing) return evictions;
  for (const auto& [number, key] : m_open_evictions) evictions.insert(key);
  for (const SlotKey& key : m_changing) {
    const SlotPhase phase = FindSlot(key)->phase;
    if (phase == SlotPhase::kDraining || phase == SlotPhase::kEvicting) {
      evictions.insert(key);
    }
  }
  return evictions;
}

bool CellLeader::MayEvict(const SlotKey& key) const {
  return m_fencing || m_clearance.unlisted ||
         m_clearance.announced.contains(key);
}

bool CellLeader::IsBarred(const SlotKey& key) const {
  return m_clearance.barred.contains(key);
}

void CellLeader::DrainBarred(TimeMs now) {
  for (const SlotKey& key : m_clearance.barred) {
    const SlotState* const slot = FindSlot(key);
    if (!slot || slot->phase != SlotPhase::kReady) continue;
    SetPhase(key, SlotPhase::kDraining, now);
    m_sessions.Recall(key);
  }
}

std::optional<LoadDecision> CellLeader::PlaceElsewhere(
    const AdapterVersion& target) const {
  // Policies do not know of barred slots.
  std::optional<LoadDecision> found;
  TimeMs oldest = TimeMs::Never();
  for (const WorkerState& worker : m_state.workers) {
    const SlotKey key{worker.id, target};
    if (!worker.usable || IsBarred(key) || FindSlot(key)) continue;
    if (worker.FreeSlots() > 0) {
      return LoadDecision{target, worker.id, std::nullopt};
    }
    for (const SlotState& slot : worker.occupied) {
      if (slot.phase != SlotPhase::kReady || slot.running > 0) continue;
      if (slot.last_used >= oldest) continue;
      oldest = slot.last_used;
      found = LoadDecision{target, worker.id, slot.target};
    }
  }
  return found;
}

}  // namespace yuccamoor
