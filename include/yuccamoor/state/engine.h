/// \file
/// \brief Orders to model engines, their results and their load reports.

#ifndef YUCCAMOOR_STATE_ENGINE_H_
#define YUCCAMOOR_STATE_ENGINE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor {

/// What an order asks of an engine.
enum class OrderKind : std::uint8_t { kLoad, kEvict };

/// An order of a cell's leader. The epoch is the fencing number.
struct EngineOrder {
  CellId cell;
  Epoch epoch;
  OrderNumber number;
  OrderKind kind = OrderKind::kLoad;
  WorkerId worker;
  AdapterVersion target;
};

/// How an order ended.
enum class OrderStatus : std::uint8_t {
  kDone,
  /// The engine has seen a higher epoch. Nothing was done.
  kStaleEpoch,
  /// The load failed, or nothing was there to evict.
  kFailed,
  /// No slot was free. Nothing was done.
  kNoSlot,
  /// The order never reached the engine.
  kNotSent,
  /// The answer was lost: the order may have taken or yet take effect.
  kUnknown,
};

/// The result of one order, from the engine's answer or from its absence.
struct OrderResult {
  WorkerId worker;
  Epoch epoch;
  OrderNumber number;
  OrderStatus status = OrderStatus::kUnknown;
  InstanceId instance;
};

/// One adapter version in an engine's slots.
struct ResidentReport {
  AdapterVersion target;
  std::uint32_t running = 0;
};

/// An engine's load report. It describes the engine as it was some time before
/// it was received.
struct EngineReport {
  WorkerId worker;
  InstanceId instance;
  /// Grows with each report of one instance.
  Sequence sequence;
  std::uint32_t slots = 0;
  std::uint32_t batch_capacity = 0;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  /// An upper bound of the time since the report was true.
  DurationMs age;
  bool leaving = false;
  std::vector<ResidentReport> residents;
  std::vector<AdapterVersion> loading;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_STATE_ENGINE_H_
