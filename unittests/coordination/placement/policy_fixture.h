/// \file
/// \brief Builders of cell states for the tests of placement policies.

#ifndef YUCCAMOOR_UNITTESTS_COORDINATION_PLACEMENT_POLICY_FIXTURE_H_
#define YUCCAMOOR_UNITTESTS_COORDINATION_PLACEMENT_POLICY_FIXTURE_H_

#include <memory>
#include <string>
#include <vector>

#include "yuccamoor/coordination/placement/naive_policy.h"
#include "yuccamoor/coordination/placement/weighted_policy.h"
#include "yuccamoor/state/cell_state.h"

namespace yuccamoor::testing {

inline AdapterVersion Target(int number) {
  return {AdapterId("a" + std::to_string(number)), VersionId("1")};
}

/// A cell of empty workers whose store allows one load now.
inline CellState MakeCell(int workers, std::uint32_t slots) {
  CellState state;
  state.cell = CellId("cell");
  state.store = {2.5, 1, 1, 0, 8, DurationMs(250)};
  for (int i = 0; i < workers; ++i) {
    WorkerState worker;
    worker.id = WorkerId("w" + std::to_string(i));
    worker.failure_domain = FailureDomainId("d" + std::to_string(i % 3));
    worker.instance = InstanceId("i1");
    worker.slots = slots;
    worker.batch_capacity = 16;
    worker.usable = true;
    state.workers.push_back(worker);
  }
  return state;
}

inline SlotState ReadySlot(const AdapterVersion& target, TimeMs last_used) {
  SlotState slot;
  slot.target = target;
  slot.phase = SlotPhase::kReady;
  slot.last_used = last_used;
  return slot;
}

inline void AddWaiting(CellState* state, const AdapterVersion& target,
                       std::uint32_t waiters, TimeMs since, TimeMs deadline) {
  WaitingTarget waiting;
  waiting.target = target;
  waiting.waiters = waiters;
  waiting.since = since;
  waiting.deadline = deadline;
  state->waiting[target] = waiting;
}

inline std::vector<std::unique_ptr<PlacementPolicy>> AllPolicies() {
  std::vector<std::unique_ptr<PlacementPolicy>> policies;
  policies.push_back(std::move(NaivePolicy::Create({}).value()));
  policies.push_back(std::move(WeightedPolicy::Create({}).value()));
  return policies;
}

}  // namespace yuccamoor::testing

#endif  // YUCCAMOOR_UNITTESTS_COORDINATION_PLACEMENT_POLICY_FIXTURE_H_
