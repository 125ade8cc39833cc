/// \file
/// \brief Virtual time, random numbers, faults and findings of the test world.

#ifndef YUCCAMOOR_UNITTESTS_COORDINATION_CELL_WORLD_WORLD_BASICS_H_
#define YUCCAMOOR_UNITTESTS_COORDINATION_CELL_WORLD_WORLD_BASICS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <pcg_random.hpp>
#include <string>
#include <utility>
#include <vector>

#include "yuccamoor/state/clock.h"

namespace yuccamoor::world {

/// Seeded random numbers.
class Random {
 public:
  explicit Random(std::uint64_t seed) : m_engine(seed) {}

  /// Uniform in [low, high].
  std::int64_t Between(std::int64_t low, std::int64_t high) {
    return low + static_cast<std::int64_t>(
                     m_engine(static_cast<std::uint32_t>(high - low + 1)));
  }
  DurationMs Duration(std::int64_t low, std::int64_t high) {
    return DurationMs(Between(low, high));
  }
  bool Chance(std::int64_t percent) { return Between(0, 99) < percent; }

 private:
  pcg32 m_engine;
};

/// Actions in order of time, and of their entry at equal times.
class EventQueue {
 public:
  using Event = std::function<void()>;

  TimeMs now{1'000};

  void At(TimeMs time, Event event) {
    m_events.emplace(std::max(time, now), std::move(event));
  }
  void After(DurationMs delay, Event event) {
    At(now + delay, std::move(event));
  }
  void RunUntil(TimeMs end) {
    while (!m_events.empty() && m_events.begin()->first <= end) {
      auto node = m_events.extract(m_events.begin());
      now = node.key();
      node.mapped()();
    }
    now = end;
  }

 private:
  std::multimap<TimeMs, Event> m_events;
};

/// What can happen to the world.
enum class FaultKind : std::uint8_t {
  kFreeze,
  kKill,
  kCutPair,
  kIsolate,
  /// The leader and one gateway reach each other and the engines only.
  kIsland,
  kCutFromService,
  kServiceDown,
  kServiceSlow,
  kServiceLosesAnswers,
  kEngineRestart,
  kResign,
  kCount,
};

/// One fault of a schedule.
struct Fault {
  TimeMs at;
  FaultKind kind = FaultKind::kFreeze;
  std::size_t node = 0;
  std::size_t other = 0;
  DurationMs duration;
};

/// Mistakes planted to see a check fail.
enum class Mistake : std::uint8_t {
  kNone,
  /// Engines that are said to check fencing numbers do not.
  kNoFencing,
  /// A new leader does not wait for orders of the old one.
  kNoWaiting,
  /// The leader takes every grant as given back, and trusts reports alone.
  kEvictOnReportAlone,
  /// The leader does not know the store's limits.
  kNoLoadCap,
  /// Gateways count the session's deadline from the update's receipt.
  kDeadlineFromReceipt,
  /// Successors grant every promise and keep none.
  kPromiseIgnored,
  /// Gateways use streams that were accepted after the session lapsed.
  kNoConfirmation,
  /// A new leader evicts before the gateways have told of their grants.
  kNoFullSync,
  /// A new leader uses what an earlier one announced to evict.
  kNotHonoured,
  /// A leader evicts what it has not announced.
  kUnannounced,
};

/// A schedule: everything that a run depends on.
struct Schedule {
  std::uint64_t seed = 0;
  bool engines_check_epoch = false;
  Mistake mistake = Mistake::kNone;
  /// Run with the times of production in place of shorter ones.
  bool production_times = false;
  /// Lose, repeat and delay messages and pause nodes at random.
  bool noise = true;
  /// Whether leaders may order on promises while the service is down.
  bool use_holds = true;
  /// Whether leaders on engines that ignore fencing numbers are paused between
  /// the check of an order and its write.
  bool write_pauses = false;
  std::vector<Fault> faults;
};

/// Broken promises, in the order in which they were found.
using Violations = std::vector<std::string>;

}  // namespace yuccamoor::world

#endif  // YUCCAMOOR_UNITTESTS_COORDINATION_CELL_WORLD_WORLD_BASICS_H_
