/// \file
/// \brief The baseline placement policy: least loaded worker, least recently
/// used victim, first come first served, nothing refused.

#ifndef YUCCAMOOR_COORDINATION_PLACEMENT_NAIVE_POLICY_H_
#define YUCCAMOOR_COORDINATION_PLACEMENT_NAIVE_POLICY_H_

#include <memory>
#include <string_view>

#include "yuccamoor/coordination/placement_policy.h"
#include "yuccamoor/state/result.h"

namespace yuccamoor {

/// Settings of the baseline policy.
struct NaiveOptions {
  /// The most loads proposed by one decision.
  std::uint32_t max_loads_per_decision = 8;
};

/// Keeps no statistics and takes no notice of the objective weights.
class NaivePolicy final : public PlacementPolicy {
 public:
  /// Fails if no load may ever be proposed.
  static Result<std::unique_ptr<NaivePolicy>> Create(
      const NaiveOptions& options);

  std::string_view Name() const override { return "naive"; }
  void OnDemand(const AdapterVersion& target, std::uint32_t requests,
                TimeMs now) override;
  PlacementDecision Decide(const CellState& state, TimeMs now) override;

 private:
  explicit NaivePolicy(const NaiveOptions& options) : m_options(options) {}

  NaiveOptions m_options;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_PLACEMENT_NAIVE_POLICY_H_
