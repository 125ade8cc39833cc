/// \file
/// \brief Implementation of the weighted policy: where to load, and what to
/// evict for it.

#include <algorithm>
#include <cmath>

#include "yuccamoor/coordination/placement/cell_view.h"
#include "yuccamoor/coordination/placement/weighted_policy.h"

namespace yuccamoor {
namespace {

/// Cost of giving work to a worker with a full batch.
constexpr double kFullBatchMs = 2'000;

/// A queue that the store needs this long for counts as long.
constexpr double kLongQueueSeconds = 5;

/// A worker that runs this many requests hardly ever falls idle.
constexpr std::uint32_t kNeverIdle = 4;

/// Share of the idle worker's cost that counts without a queue.
constexpr double kLeastPressure = 0.15;

/// Cost of a replica in a failure domain that holds the target already.
constexpr double kSharedDomainMs = 1'000;

/// Returns the failure domains of usable workers that hold the target.
std::vector<FailureDomainId> DomainsHolding(const CellState& state,
                                            const AdapterVersion& target) {
  std::vector<FailureDomainId> domains;
  for (const WorkerState& worker : state.workers) {
    if (worker.usable && Holds(worker, target)) {
      domains.push_back(worker.failure_domain);
    }
  }
  return domains;
}

double BatchFill(const WorkerState& worker) {
  if (worker.batch_capacity == 0) return 1;
  return static_cast<double>(worker.running) / worker.batch_capacity;
}

/// Returns how many of the decided loads take a free slot of the worker.
std::uint32_t FreeSlotsTaken(const std::vector<LoadDecision>& decided,
                             const WorkerState& worker) {
  return static_cast<std::uint32_t>(
      std::count_if(decided.begin(), decided.end(), [&](const LoadDecision& l) {
        return l.worker == worker.id && !l.victim.has_value();
      }));
}

bool IsVictimTaken(const std::vector<LoadDecision>& decided,
                   const WorkerState& worker, const SlotState& slot) {
  return std::any_of(decided.begin(), decided.end(),
                     [&](const LoadDecision& l) {
                       return l.worker == worker.id && l.victim == slot.target;
                     });
}

}  // namespace

double WeightedPolicy::BacklogMs(const CellState& state,
                                 const WorkerState& worker) const {
  if (worker.running < worker.batch_capacity) return 0;
  double backlog = worker.running;
  for (const SlotState& slot : worker.occupied) {
    const auto found = state.waiting.find(slot.target);
    if (found == state.waiting.end()) continue;
    const std::uint32_t holders = FindPresence(state, slot.target).holders;
    backlog +=
        static_cast<double>(found->second.waiters) / std::max(1U, holders);
  }
  const double capacity = std::max(1U, worker.batch_capacity);
  return std::max(0.0, backlog / capacity - 1) *
         static_cast<double>(m_options.answer_time.ms());
}

double WeightedPolicy::BatchCost(const CellState& state,
                                 const WorkerState& worker) const {
  const double spread =
      state.weights.load_stalls * BatchFill(worker) * kFullBatchMs;
  if (state.weights.batch_efficiency <= 0) return spread;
  // Without a queue the slots of quiet workers are worth more than full
  // batches, as evictions elsewhere would only add misses.
  const double queue = static_cast<double>(state.waiting.size()) /
                       (state.store.loads_per_second * kLongQueueSeconds);
  const double pressure = std::clamp(queue, kLeastPressure, 1.0);
  return spread + state.weights.batch_efficiency * pressure *
                      IdleShare(state, worker) *
                      static_cast<double>(m_options.idle_worker_cost.ms());
}

double WeightedPolicy::IdleShare(const CellState& state,
                                 const WorkerState& worker) const {
  if (worker.running >= kNeverIdle) return 0;
  const auto index = static_cast<std::size_t>(&worker - state.workers.data());
  double load = worker.running;
  if (index < m_expected_running.size()) load += m_expected_running[index];
  for (const SlotState& slot : worker.occupied) {
    if (slot.phase == SlotPhase::kLoading) load += 1;
  }
  // The chance that none of the requests arrives while it would run.
  return std::exp(-load);
}

WeightedPolicy::LoadPlace WeightedPolicy::FindPlace(
    const CellState& state, const Candidate& candidate, TimeMs now,
    const std::vector<LoadDecision>& decided) const {
  const WaitingTarget& waiting = *candidate.waiting;
  const std::vector<FailureDomainId> held =
      candidate.holders > 0 ? DomainsHolding(state, waiting.target)
                            : std::vector<FailureDomainId>();
  LoadPlace best;
  for (const WorkerState& worker : state.workers) {
    if (!worker.usable) continue;
    double cost =
        BatchCost(state, worker) + waiting.waiters * BacklogMs(state, worker);
    const bool shared = std::find(held.begin(), held.end(),
                                  worker.failure_domain) != held.end();
    if (shared) cost += kSharedDomainMs;
    if (best.worker != nullptr && cost >= best.cost) continue;
    if (Holds(worker, waiting.target)) continue;
    LoadPlace place = PlaceOn(state, worker, now, decided);
    if (place.worker == nullptr) continue;
    place.cost += cost;
    if (best.worker == nullptr || place.cost < best.cost) best = place;
  }
  return best;
}

WeightedPolicy::LoadPlace WeightedPolicy::PlaceOn(
    const CellState& state, const WorkerState& worker, TimeMs now,
    const std::vector<LoadDecision>& decided) const {
  LoadPlace place;
  if (worker.FreeSlots() > FreeSlotsTaken(decided, worker)) {
    place.worker = &worker;
    return place;
  }
  for (const SlotState& slot : worker.occupied) {
    if (slot.phase != SlotPhase::kReady || slot.running > 0) continue;
    const double cost = ReuseWorth(slot.target, now);
    if (place.worker != nullptr && place.cost <= cost) continue;
    if (!IsEvictable(state, slot)) continue;
    if (IsVictimTaken(decided, worker, slot)) continue;
    place = LoadPlace{&worker, &slot, cost};
  }
  return place;
}

}  // namespace yuccamoor
