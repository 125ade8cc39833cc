/// \file
/// \brief Questions about a cell's state that every placement policy asks.

#ifndef YUCCAMOOR_COORDINATION_PLACEMENT_CELL_VIEW_H_
#define YUCCAMOOR_COORDINATION_PLACEMENT_CELL_VIEW_H_

#include <cstdint>

#include "yuccamoor/state/cell_state.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor {

/// How long a recall that makes room for a load keeps its share of the store's
/// budget. A slower one must not hold up other loads.
constexpr DurationMs kDrainPatience{250};

/// Returns how many loads may be proposed now: whole tokens of the store's
/// budget, less the proposals under way, within the limit of loads in flight.
std::uint32_t LoadAllowance(const CellState& state, TimeMs now);

/// Whether the target is being loaded, or waits for a slot to be freed.
bool IsLoadUnderWay(const CellState& state, const AdapterVersion& target);

/// Whether a usable worker holds the target ready and has room in its batch.
bool HasBatchRoom(const CellState& state, const AdapterVersion& target);

/// Whether the worker holds the target in any phase.
bool Holds(const WorkerState& worker, const AdapterVersion& target);

/// Whether the slot may be given up for another target: ready, and nothing
/// runs in it or waits for it.
bool IsEvictable(const CellState& state, const SlotState& slot);

/// Whether the target may be tried now: somebody waits, its backoff after
/// failed loads is over, and its first deadline has not passed.
bool IsDue(const WaitingTarget& waiting, TimeMs now);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_PLACEMENT_CELL_VIEW_H_
