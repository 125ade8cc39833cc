/// \file
/// \brief A placement policy for tests: the first waiting target goes to the
/// first worker with room, or in place of the first ready slot.

#ifndef YUCCAMOOR_UNITTESTS_COORDINATION_CELL_FIRST_FIT_POLICY_H_
#define YUCCAMOOR_UNITTESTS_COORDINATION_CELL_FIRST_FIT_POLICY_H_

#include <algorithm>
#include <string_view>
#include <vector>

#include "yuccamoor/coordination/placement_policy.h"

namespace yuccamoor {

/// Loads whatever waits and is nowhere resident. Ignores every safety rule on
/// purpose: the leader must hold them against any policy.
class FirstFitPolicy final : public PlacementPolicy {
 public:
  std::string_view Name() const override { return "first_fit"; }
  void OnDemand(const AdapterVersion&, std::uint32_t, TimeMs) override {}

  PlacementDecision Decide(const CellState& state, TimeMs) override {
    PlacementDecision decision;
    if (state.store.tokens < 1) return decision;
    std::vector<AdapterVersion> wanted;
    for (const auto& [target, waiting] : state.waiting) {
      if (!IsAnywhere(state, target)) wanted.push_back(target);
    }
    std::sort(wanted.begin(), wanted.end());
    for (const AdapterVersion& target : wanted) Place(state, target, decision);
    return decision;
  }

 private:
  static bool IsAnywhere(const CellState& state, const AdapterVersion& target) {
    for (const WorkerState& worker : state.workers) {
      for (const SlotState& slot : worker.occupied) {
        if (slot.target == target) return true;
      }
    }
    return false;
  }

  static void Place(const CellState& state, const AdapterVersion& target,
                    PlacementDecision& decision) {
    for (const WorkerState& worker : state.workers) {
      if (!worker.usable || worker.FreeSlots() == 0) continue;
      decision.loads.push_back(LoadDecision{target, worker.id, std::nullopt});
      return;
    }
    for (const WorkerState& worker : state.workers) {
      if (!worker.usable) continue;
      for (const SlotState& slot : worker.occupied) {
        if (slot.phase != SlotPhase::kReady) continue;
        decision.loads.push_back(LoadDecision{target, worker.id, slot.target});
        return;
      }
    }
  }
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_UNITTESTS_COORDINATION_CELL_FIRST_FIT_POLICY_H_
