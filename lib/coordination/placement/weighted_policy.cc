/// \file
/// \brief Implementation of the weighted placement policy.

#include "yuccamoor/coordination/placement/weighted_policy.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "yuccamoor/coordination/placement/cell_view.h"

namespace yuccamoor {
namespace {

/// Candidates looked at beyond the loads allowed, as some may have no place.
constexpr std::size_t kSpareCandidates = 16;

/// Waiting saved by each request that finds its target resident.
constexpr double kStallMsPerMiss = 2'000;

/// Time for which a loaded target is expected to stay resident.
constexpr double kResidenceSeconds = 15;

/// Cost of a full batch, or of an empty one for the batch efficiency weight.
constexpr double kBatchFillMs = 2'000;

/// Weight of one waiter by its priority class.
double PriorityWeight(Priority priority) {
  switch (priority) {
    case Priority::kInteractive:
      return 2.0;
    case Priority::kNormal:
      return 1.0;
    case Priority::kBackground:
      return 0.5;
  }
  return 1.0;
}

double BatchFill(const WorkerState& worker) {
  if (worker.batch_capacity == 0) return 1;
  return static_cast<double>(worker.running) / worker.batch_capacity;
}

/// Returns how many of the decided loads take a free slot of the worker.
std::uint32_t FreeSlotsTaken(const PlacementDecision& decided,
                             const WorkerState& worker) {
  return static_cast<std::uint32_t>(std::count_if(
      decided.loads.begin(), decided.loads.end(), [&](const LoadDecision& l) {
        return l.worker == worker.id && !l.victim.has_value();
      }));
}

bool IsVictimTaken(const PlacementDecision& decided, const WorkerState& worker,
                   const SlotState& slot) {
  return std::any_of(decided.loads.begin(), decided.loads.end(),
                     [&](const LoadDecision& l) {
                       return l.worker == worker.id && l.victim == slot.target;
                     });
}

Finding BadOption(const char* pointer, const char* message) {
  return Finding{{"weighted policy", pointer}, message, ""};
}

}  // namespace

Result<std::unique_ptr<WeightedPolicy>> WeightedPolicy::Create(
    const WeightedOptions& options) {
  Findings findings;
  if (options.sketch_width == 0) {
    findings.Add(BadOption("/sketch_width", "must be at least 1"));
  }
  if (options.half_life.ms() <= 0) {
    findings.Add(BadOption("/half_life", "must be above zero"));
  }
  if (options.assumed_deadline.ms() <= 0) {
    findings.Add(BadOption("/assumed_deadline", "must be above zero"));
  }
  if (options.max_loads_per_decision == 0) {
    findings.Add(BadOption("/max_loads_per_decision", "must be at least 1"));
  }
  if (!findings.empty()) return findings;
  return std::unique_ptr<WeightedPolicy>(new WeightedPolicy(options));
}

WeightedPolicy::WeightedPolicy(const WeightedOptions& options)
    : m_options(options), m_demand(options.sketch_width, options.half_life) {}

void WeightedPolicy::OnDemand(const AdapterVersion& target,
                              std::uint32_t requests, TimeMs now) {
  m_demand.Add(target, requests, now);
}

PlacementDecision WeightedPolicy::Decide(const CellState& state, TimeMs now) {
  PlacementDecision decision;
  const std::uint32_t allowed =
      std::min(LoadAllowance(state, now), m_options.max_loads_per_decision);
  if (allowed == 0) return decision;
  for (const Candidate& candidate :
       Rank(state, now, allowed + kSpareCandidates)) {
    if (decision.loads.size() >= allowed) break;
    const AdapterVersion& target = candidate.waiting->target;
    if (IsLoadUnderWay(state, target) || HasBatchRoom(state, target)) continue;
    const LoadPlace place = FindPlace(state, target, now, decision);
    if (place.worker == nullptr || place.cost >= candidate.worth) continue;
    LoadDecision load{target, place.worker->id, std::nullopt};
    if (place.victim != nullptr) load.victim = place.victim->target;
    decision.loads.push_back(std::move(load));
  }
  return decision;
}

std::vector<WeightedPolicy::Candidate> WeightedPolicy::Rank(
    const CellState& state, TimeMs now, std::size_t count) const {
  std::vector<Candidate> candidates;
  for (const auto& [target, waiting] : state.waiting) {
    if (!IsDue(waiting, now)) continue;
    const double worth = Worth(waiting, state, now);
    if (worth > 0) candidates.push_back(Candidate{&waiting, worth});
  }
  count = std::min(count, candidates.size());
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(count),
                    candidates.end(),
                    [](const Candidate& a, const Candidate& b) {
                      if (a.worth != b.worth) return a.worth > b.worth;
                      return a.waiting->target < b.waiting->target;
                    });
  candidates.resize(count);
  return candidates;
}

double WeightedPolicy::Worth(const WaitingTarget& waiting,
                             const CellState& state, TimeMs now) const {
  const TimeMs deadline = waiting.deadline == TimeMs::Never()
                              ? waiting.since + m_options.assumed_deadline
                              : waiting.deadline;
  const DurationMs left = deadline - (now + state.store.load_time);
  if (waiting.deadline != TimeMs::Never() && left.ms() <= 0) return 0;
  const double saved = std::max<double>(1, static_cast<double>(left.ms()));
  return PriorityWeight(waiting.priority) * waiting.waiters * saved +
         ReuseWorth(waiting.target, now);
}

double WeightedPolicy::ReuseWorth(const AdapterVersion& target,
                                  TimeMs now) const {
  return m_demand.RatePerSecond(target, now) * kResidenceSeconds *
         kStallMsPerMiss;
}

WeightedPolicy::LoadPlace WeightedPolicy::FindPlace(
    const CellState& state, const AdapterVersion& target, TimeMs now,
    const PlacementDecision& decided) const {
  LoadPlace best;
  for (const WorkerState& worker : state.workers) {
    if (!worker.usable || Holds(worker, target)) continue;
    const LoadPlace place = PlaceOn(state, worker, now, decided);
    if (place.worker == nullptr) continue;
    if (best.worker == nullptr || place.cost < best.cost) best = place;
  }
  return best;
}

WeightedPolicy::LoadPlace WeightedPolicy::PlaceOn(
    const CellState& state, const WorkerState& worker, TimeMs now,
    const PlacementDecision& decided) const {
  LoadPlace place;
  const double spread =
      state.weights.load_stalls - state.weights.batch_efficiency;
  const double fill_cost = spread * BatchFill(worker) * kBatchFillMs;
  if (worker.FreeSlots() > FreeSlotsTaken(decided, worker)) {
    place.worker = &worker;
    place.cost = fill_cost;
    return place;
  }
  for (const SlotState& slot : worker.occupied) {
    if (!IsEvictable(state, slot)) continue;
    if (IsVictimTaken(decided, worker, slot)) continue;
    const double cost = ReuseWorth(slot.target, now) + fill_cost;
    if (place.worker != nullptr && place.cost <= cost) continue;
    place = LoadPlace{&worker, &slot, cost};
  }
  return place;
}

}  // namespace yuccamoor
