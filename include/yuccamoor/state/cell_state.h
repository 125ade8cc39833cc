/// \file
/// \brief What a cell's leader knows of its workers, their slots and the
/// requests that wait; the input of placement policies.

#ifndef YUCCAMOOR_STATE_CELL_STATE_H_
#define YUCCAMOOR_STATE_CELL_STATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"
#include "yuccamoor/state/priority.h"

namespace yuccamoor {

/// The life of one adapter version in a worker's slot.
enum class SlotPhase : std::uint8_t {
  kLoading,
  kReady,
  /// Grants are being recalled; nothing new is granted.
  kDraining,
  kEvicting,
};

/// One occupied slot.
struct SlotState {
  AdapterVersion target;
  SlotPhase phase = SlotPhase::kLoading;
  /// When the phase began.
  TimeMs since;
  /// The last time at which a request was known to run or to wait for it.
  TimeMs last_used;
  /// Requests that run, by the newest report corrected by own counts.
  std::uint32_t running = 0;
  /// Gateways that hold a grant.
  std::uint32_t grants = 0;
  /// What is to be loaded once the slot is free; set from kDraining on, so that
  /// policies see a proposal that is under way.
  std::optional<AdapterVersion> successor;
};

/// One worker as the leader sees it.
struct WorkerState {
  WorkerId id;
  std::string address;
  FailureDomainId failure_domain;
  InstanceId instance;
  std::uint32_t slots = 0;
  std::uint32_t batch_capacity = 0;
  std::uint32_t running = 0;
  /// A worker that cannot take orders or new requests: leaving or silent.
  bool usable = false;
  std::vector<SlotState> occupied;

  std::uint32_t FreeSlots() const {
    const auto used = static_cast<std::uint32_t>(occupied.size());
    return used < slots ? slots - used : 0;
  }
};

/// Requests of all gateways that wait for one adapter version.
struct WaitingTarget {
  AdapterVersion target;
  Priority priority = Priority::kNormal;
  std::uint32_t waiters = 0;
  /// When the first of them began to wait.
  TimeMs since;
  /// When the first of them gives up.
  TimeMs deadline = TimeMs::Never();
  /// Loads of this target that failed in a row, and when to try again.
  std::uint32_t failed_loads = 0;
  TimeMs retry_at;
};

/// The weight store's budget as the leader spends it.
struct StoreBudget {
  double loads_per_second = 0;
  double burst = 1;
  /// Loads that may start now.
  double tokens = 0;
  std::uint32_t in_flight = 0;
  std::uint32_t max_in_flight = 0;
  /// Time of one load while no more than max_in_flight run.
  DurationMs load_time;
};

/// The two measures' weights, each from 0 to 1.
struct ObjectiveWeights {
  double load_stalls = 1;
  double batch_efficiency = 0;
};

/// Everything that a placement decision may depend on.
struct CellState {
  CellId cell;
  std::vector<WorkerState> workers;
  std::unordered_map<AdapterVersion, WaitingTarget> waiting;
  StoreBudget store;
  ObjectiveWeights weights;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_STATE_CELL_STATE_H_
