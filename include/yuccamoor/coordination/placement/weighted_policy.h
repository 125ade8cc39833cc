/// \file
/// \brief The placement policy in force: spends each load of the store where
/// it saves callers the most waiting, and weighs that against full batches.

#ifndef YUCCAMOOR_COORDINATION_PLACEMENT_WEIGHTED_POLICY_H_
#define YUCCAMOOR_COORDINATION_PLACEMENT_WEIGHTED_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "yuccamoor/coordination/placement/frequency_sketch.h"
#include "yuccamoor/coordination/placement/weighted_options.h"
#include "yuccamoor/coordination/placement_policy.h"
#include "yuccamoor/state/result.h"

namespace yuccamoor {

/// Ranks waiting targets by the waiting that a load saves, in waiter
/// milliseconds: that of the present waiters until their deadlines, and that
/// of the requests expected while the target stays resident. A slot costs the
/// same for the target that is evicted from it.
class WeightedPolicy final : public PlacementPolicy {
 public:
  /// Fails if an option is out of range.
  static Result<std::unique_ptr<WeightedPolicy>> Create(
      const WeightedOptions& options);

  std::string_view Name() const override { return "weighted"; }
  void OnDemand(const AdapterVersion& target, std::uint32_t requests,
                TimeMs now) override;
  PlacementDecision Decide(const CellState& state, TimeMs now) override;

 private:
  /// A waiting target with the worth of loading it now.
  struct Candidate {
    const WaitingTarget* waiting = nullptr;
    double worth = 0;
    /// Usable workers that hold the target; known once adjusted.
    std::uint32_t holders = 0;
    /// Whether the worth takes account of where the target is already.
    bool adjusted = false;
  };

  /// A place for a load and its cost, in the unit of Candidate::worth.
  struct LoadPlace {
    const WorkerState* worker = nullptr;
    const SlotState* victim = nullptr;
    double cost = 0;
  };

  explicit WeightedPolicy(const WeightedOptions& options);

  static bool IsWorthLess(const Candidate& a, const Candidate& b);
  std::vector<Candidate> FindCandidates(const CellState& state,
                                        TimeMs now) const;
  std::vector<LoadDecision> ChooseLoads(const CellState& state, TimeMs now,
                                        std::uint32_t allowed) const;
  std::optional<LoadDecision> PlaceTarget(
      const CellState& state, const Candidate& candidate, TimeMs now,
      const std::vector<LoadDecision>& decided) const;
  double Worth(const WaitingTarget& waiting, const CellState& state,
               TimeMs now) const;
  double PriorityWeight(Priority priority) const;
  double IdleShare(const CellState& state, const WorkerState& worker) const;
  double BacklogMs(const CellState& state, const WorkerState& worker) const;
  double ReuseWorth(const AdapterVersion& target, TimeMs now) const;
  void CountRunning(const CellState& state, TimeMs now);
  std::vector<RefuseDecision> FindHopeless(const CellState& state, TimeMs now);
  double WaitingWorth(const WaitingTarget& waiting, const CellState& state,
                      TimeMs now) const;
  double BatchCost(const CellState& state, const WorkerState& worker) const;
  LoadPlace FindPlace(const CellState& state, const Candidate& candidate,
                      TimeMs now,
                      const std::vector<LoadDecision>& decided) const;
  LoadPlace PlaceOn(const CellState& state, const WorkerState& worker,
                    TimeMs now, const std::vector<LoadDecision>& decided) const;

  WeightedOptions m_options;
  FrequencySketch m_demand;
  TimeMs m_refused_at;
  TimeMs m_counted_at;
  /// Requests expected to run at once for what is resident, by worker, as of
  /// the last count.
  std::vector<double> m_expected_running;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_PLACEMENT_WEIGHTED_POLICY_H_
