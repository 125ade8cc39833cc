/// \file
/// \brief Interface of placement policies: which adapter to load where, what to
/// evict for it, and what to refuse.

#ifndef YUCCAMOOR_COORDINATION_PLACEMENT_POLICY_H_
#define YUCCAMOOR_COORDINATION_PLACEMENT_POLICY_H_

#include <optional>
#include <string_view>
#include <vector>

#include "yuccamoor/state/cell_state.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor {

/// Asks for a target on a worker, in place of \p victim if one is named. The
/// leader recalls the victim's grants first and loads once its slot is free.
struct LoadDecision {
  AdapterVersion target;
  WorkerId worker;
  std::optional<AdapterVersion> victim;
};

/// Asks for the waiters of a target to be failed now as not run.
struct RefuseDecision {
  AdapterVersion target;
  DurationMs retry_after;
};

/// What a policy wants done now.
struct PlacementDecision {
  std::vector<LoadDecision> loads;
  std::vector<RefuseDecision> refusals;
};

/// Decides on placement. A policy proposes; the leader checks every proposal
/// against the safety rules (leases, running requests, store budget), so that
/// no policy can break a promise. Policies keep their own statistics.
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;

  /// The policy's name in logs and reports.
  virtual std::string_view Name() const = 0;

  /// Notes that requests for \p target arrived at \p now.
  virtual void OnDemand(const AdapterVersion& target, std::uint32_t requests,
                        TimeMs now) = 0;

  /// Returns what to do now. Called when the state has changed and at each
  /// tick. Proposals that are already under way must not be repeated: a target
  /// in SlotPhase::kLoading anywhere, or a slot in kDraining or kEvicting.
  virtual PlacementDecision Decide(const CellState& state, TimeMs now) = 0;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_PLACEMENT_POLICY_H_
