/// \file
/// \brief The placement policy in force: spends each load of the store where
/// it saves callers the most waiting, and weighs that against full batches.

#ifndef YUCCAMOOR_COORDINATION_PLACEMENT_WEIGHTED_POLICY_H_
#define YUCCAMOOR_COORDINATION_PLACEMENT_WEIGHTED_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "yuccamoor/coordination/placement/frequency_sketch.h"
#include "yuccamoor/coordination/placement_policy.h"
#include "yuccamoor/state/result.h"

namespace yuccamoor {

/// Settings of the weighted policy.
struct WeightedOptions {
  /// Counters per row of the frequency sketch.
  std::size_t sketch_width = 4'096;
  /// Time in which past demand loses half of its weight.
  DurationMs half_life{120'000};
  /// Deadline that is assumed for waiters that name none.
  DurationMs assumed_deadline{30'000};
  /// Most loads proposed by one decision.
  std::uint32_t max_loads_per_decision = 8;
};

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
  };

  /// A place for a load and its cost, in the unit of Candidate::worth.
  struct LoadPlace {
    const WorkerState* worker = nullptr;
    const SlotState* victim = nullptr;
    double cost = 0;
  };

  explicit WeightedPolicy(const WeightedOptions& options);

  std::vector<Candidate> Rank(const CellState& state, TimeMs now,
                              std::size_t count) const;
  double Worth(const WaitingTarget& waiting, const CellState& state,
               TimeMs now) const;
  double ReuseWorth(const AdapterVersion& target, TimeMs now) const;
  LoadPlace FindPlace(const CellState& state, const AdapterVersion& target,
                      TimeMs now, const PlacementDecision& decided) const;
  LoadPlace PlaceOn(const CellState& state, const WorkerState& worker,
                    TimeMs now, const PlacementDecision& decided) const;

  WeightedOptions m_options;
  FrequencySketch m_demand;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_PLACEMENT_WEIGHTED_POLICY_H_
