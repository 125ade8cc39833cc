/// \file
/// \brief Implementation of the questions about a cell's state.

#include "yuccamoor/coordination/placement/cell_view.h"

#include <algorithm>

namespace yuccamoor {
namespace {

/// Whether a load waits for this slot and still counts against the budget.
bool HoldsBudget(const SlotState& slot, TimeMs now) {
  return slot.successor.has_value() && now - slot.since <= kDrainPatience;
}

/// Counts the proposals whose load has not started yet.
std::uint32_t CountPending(const CellState& state, TimeMs now) {
  std::uint32_t pending = 0;
  for (const WorkerState& worker : state.workers) {
    for (const SlotState& slot : worker.occupied) {
      if (HoldsBudget(slot, now)) ++pending;
    }
  }
  return pending;
}

}  // namespace

std::uint32_t LoadAllowance(const CellState& state, TimeMs now) {
  const StoreBudget& store = state.store;
  if (store.tokens < 1 || store.in_flight >= store.max_in_flight) return 0;
  const auto tokens = static_cast<std::uint32_t>(store.tokens);
  const std::uint32_t room =
      std::min(tokens, store.max_in_flight - store.in_flight);
  const std::uint32_t pending = CountPending(state, now);
  return pending < room ? room - pending : 0;
}

bool IsLoadUnderWay(const CellState& state, const AdapterVersion& target) {
  for (const WorkerState& worker : state.workers) {
    for (const SlotState& slot : worker.occupied) {
      if (slot.successor == target) return true;
      if (slot.phase == SlotPhase::kLoading && slot.target == target) {
        return true;
      }
    }
  }
  return false;
}

bool HasBatchRoom(const CellState& state, const AdapterVersion& target) {
  for (const WorkerState& worker : state.workers) {
    if (!worker.usable || worker.running >= worker.batch_capacity) continue;
    for (const SlotState& slot : worker.occupied) {
      if (slot.phase == SlotPhase::kReady && slot.target == target) return true;
    }
  }
  return false;
}

bool Holds(const WorkerState& worker, const AdapterVersion& target) {
  return std::any_of(
      worker.occupied.begin(), worker.occupied.end(),
      [&](const SlotState& slot) { return slot.target == target; });
}

bool IsEvictable(const CellState& state, const SlotState& slot) {
  return slot.phase == SlotPhase::kReady && slot.running == 0 &&
         state.waiting.find(slot.target) == state.waiting.end();
}

bool IsDue(const WaitingTarget& waiting, TimeMs now) {
  return waiting.waiters > 0 && waiting.retry_at <= now &&
         waiting.deadline > now;
}

}  // namespace yuccamoor
