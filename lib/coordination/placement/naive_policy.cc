/// \file
/// \brief Implementation of the baseline placement policy.

#include "yuccamoor/coordination/placement/naive_policy.h"

#include <algorithm>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

#include "yuccamoor/coordination/placement/cell_view.h"

namespace yuccamoor {
namespace {

/// Slots that this decision has already spoken for.
struct Claims {
  std::set<const SlotState*> victims;
  std::vector<std::uint32_t> free_slots;
};

Claims MakeClaims(const CellState& state) {
  Claims claims;
  for (const WorkerState& worker : state.workers) {
    claims.free_slots.push_back(worker.FreeSlots());
  }
  return claims;
}

/// Returns every target that may be loaded, those waiting longest first.
std::vector<const WaitingTarget*> OrderByArrival(const CellState& state,
                                                 TimeMs now) {
  std::vector<const WaitingTarget*> order;
  for (const auto& [target, waiting] : state.waiting) {
    if (IsDue(waiting, now)) order.push_back(&waiting);
  }
  std::sort(order.begin(), order.end(),
            [](const WaitingTarget* a, const WaitingTarget* b) {
              return std::tie(a->since, a->target) <
                     std::tie(b->since, b->target);
            });
  return order;
}

/// Returns the worker's least recently used slot that may be evicted, or null.
const SlotState* LeastRecentlyUsed(const CellState& state,
                                   const WorkerState& worker,
                                   const Claims& claims) {
  const SlotState* victim = nullptr;
  for (const SlotState& slot : worker.occupied) {
    if (!IsEvictable(state, slot) || claims.victims.count(&slot) > 0) continue;
    if (victim == nullptr || slot.last_used < victim->last_used) victim = &slot;
  }
  return victim;
}

/// Returns the load onto the least loaded worker that can take the target.
std::optional<LoadDecision> PlaceLoad(const CellState& state,
                                      const AdapterVersion& target,
                                      Claims* claims) {
  const WorkerState* best = nullptr;
  const SlotState* best_victim = nullptr;
  std::size_t best_index = 0;
  for (std::size_t i = 0; i < state.workers.size(); ++i) {
    const WorkerState& worker = state.workers[i];
    if (!worker.usable || Holds(worker, target)) continue;
    if (best != nullptr && best->running <= worker.running) continue;
    const SlotState* victim = nullptr;
    if (claims->free_slots[i] == 0) {
      victim = LeastRecentlyUsed(state, worker, *claims);
      if (victim == nullptr) continue;
    }
    best = &worker;
    best_victim = victim;
    best_index = i;
  }
  if (best == nullptr) return std::nullopt;
  LoadDecision load{target, best->id, std::nullopt};
  if (best_victim == nullptr) {
    --claims->free_slots[best_index];
  } else {
    load.victim = best_victim->target;
    claims->victims.insert(best_victim);
  }
  return load;
}

}  // namespace

Result<std::unique_ptr<NaivePolicy>> NaivePolicy::Create(
    const NaiveOptions& options) {
  if (options.max_loads_per_decision == 0) {
    return Findings(Finding{{"naive policy", "/max_loads_per_decision"},
                            "no load could ever be proposed",
                            "give at least 1"});
  }
  return std::unique_ptr<NaivePolicy>(new NaivePolicy(options));
}

void NaivePolicy::OnDemand(const AdapterVersion& /*target*/,
                           std::uint32_t /*requests*/, TimeMs /*now*/) {}

PlacementDecision NaivePolicy::Decide(const CellState& state, TimeMs now) {
  PlacementDecision decision;
  const std::uint32_t allowed =
      std::min(LoadAllowance(state, now), m_options.max_loads_per_decision);
  if (allowed == 0) return decision;
  Claims claims = MakeClaims(state);
  for (const WaitingTarget* waiting : OrderByArrival(state, now)) {
    if (decision.loads.size() >= allowed) break;
    if (IsLoadUnderWay(state, waiting->target)) continue;
    if (HasBatchRoom(state, waiting->target)) continue;
    std::optional<LoadDecision> load =
        PlaceLoad(state, waiting->target, &claims);
    if (load.has_value()) decision.loads.push_back(*std::move(load));
  }
  return decision;
}

}  // namespace yuccamoor
