/// \file
/// \brief Checks a decision against what the interface of placement policies
/// demands.

#ifndef YUCCAMOOR_UNITTESTS_COORDINATION_PLACEMENT_DECISION_CHECK_H_
#define YUCCAMOOR_UNITTESTS_COORDINATION_PLACEMENT_DECISION_CHECK_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "yuccamoor/coordination/placement_policy.h"

namespace yuccamoor::testing {

inline const WorkerState* FindWorker(const CellState& state,
                                     const WorkerId& id) {
  for (const WorkerState& worker : state.workers) {
    if (worker.id == id) return &worker;
  }
  return nullptr;
}

inline const SlotState* FindSlot(const WorkerState& worker,
                                 const AdapterVersion& target) {
  for (const SlotState& slot : worker.occupied) {
    if (slot.target == target) return &slot;
  }
  return nullptr;
}

inline bool IsUnderWay(const CellState& state, const AdapterVersion& target) {
  for (const WorkerState& worker : state.workers) {
    for (const SlotState& slot : worker.occupied) {
      if (slot.successor == target) return true;
      if (slot.target == target && slot.phase == SlotPhase::kLoading) {
        return true;
      }
    }
  }
  return false;
}

/// Returns what is wrong with one load; empty if nothing is.
inline std::vector<std::string> CheckLoad(const CellState& state,
                                          const LoadDecision& load) {
  const WorkerState* worker = FindWorker(state, load.worker);
  if (worker == nullptr || !worker->usable) return {"unusable worker"};
  std::vector<std::string> wrong;
  if (state.waiting.count(load.target) == 0) wrong.emplace_back("not wanted");
  if (FindSlot(*worker, load.target) != nullptr) wrong.emplace_back("held");
  if (IsUnderWay(state, load.target)) wrong.emplace_back("under way");
  if (!load.victim.has_value()) return wrong;
  const SlotState* victim = FindSlot(*worker, *load.victim);
  if (victim == nullptr || victim->phase != SlotPhase::kReady) {
    wrong.emplace_back("victim not ready");
  } else if (victim->running > 0) {
    wrong.emplace_back("victim in use");
  }
  return wrong;
}

/// Returns every rule that the decision breaks, by name.
inline std::vector<std::string> CheckDecision(
    const CellState& state, const PlacementDecision& decision) {
  std::vector<std::string> wrong;
  std::set<AdapterVersion> targets;
  std::set<std::pair<WorkerId, AdapterVersion>> victims;
  std::map<WorkerId, std::uint32_t> free_slots;
  for (const LoadDecision& load : decision.loads) {
    const auto found = CheckLoad(state, load);
    wrong.insert(wrong.end(), found.begin(), found.end());
    if (!targets.insert(load.target).second) wrong.emplace_back("twice");
    if (!load.victim.has_value()) {
      ++free_slots[load.worker];
    } else if (!victims.insert({load.worker, *load.victim}).second) {
      wrong.emplace_back("victim twice");
    }
  }
  for (const auto& [id, count] : free_slots) {
    const WorkerState* worker = FindWorker(state, id);
    if (worker != nullptr && count > worker->FreeSlots()) {
      wrong.emplace_back("no free slot");
    }
  }
  const StoreBudget& store = state.store;
  const auto loads = static_cast<std::uint32_t>(decision.loads.size());
  if (loads > store.tokens) wrong.emplace_back("over the rate");
  if (loads > 0 && store.in_flight + loads > store.max_in_flight) {
    wrong.emplace_back("over the loads in flight");
  }
  for (const RefuseDecision& refusal : decision.refusals) {
    if (state.waiting.count(refusal.target) == 0) {
      wrong.emplace_back("refused nobody");
    }
    if (targets.count(refusal.target) > 0) {
      wrong.emplace_back("refused and loaded");
    }
  }
  return wrong;
}

}  // namespace yuccamoor::testing

#endif  // YUCCAMOOR_UNITTESTS_COORDINATION_PLACEMENT_DECISION_CHECK_H_
