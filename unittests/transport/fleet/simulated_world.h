/// \file
/// \brief The clock, the store and the chance that a simulated fleet shares.

#ifndef YUCCAMOOR_UNITTESTS_TRANSPORT_FLEET_SIMULATED_WORLD_H_
#define YUCCAMOOR_UNITTESTS_TRANSPORT_FLEET_SIMULATED_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <pcg_random.hpp>
#include <utility>

#include "transport/fleet/simulated_fleet_store.h"
#include "yuccamoor/state/clock.h"

namespace yuccamoor::fleet {

/// Calls functions at their times.
class Schedule {
 public:
  explicit Schedule(const Clock& clock) : m_clock(clock) {}

  void After(DurationMs time, std::function<void()> call) {
    m_calls.emplace(m_clock.Now() + time, std::move(call));
  }
  void RunDue() {
    while (!m_calls.empty() && m_calls.begin()->first <= m_clock.Now()) {
      const auto call = std::move(m_calls.begin()->second);
      m_calls.erase(m_calls.begin());
      call();
    }
  }

 private:
  const Clock& m_clock;
  std::multimap<TimeMs, std::function<void()>> m_calls;
};

struct SimulatedWorld {
  explicit SimulatedWorld(std::uint64_t seed) : random(seed) {}

  /// Draws a number of the range, both ends included.
  std::int64_t Draw(std::int64_t from, std::int64_t to) {
    const auto span = static_cast<std::uint32_t>(to - from + 1);
    return from + static_cast<std::int64_t>(random(span));
  }

  ManualClock clock;
  pcg32 random;
  SimulatedFleetStore store{clock};
  Schedule schedule{clock};
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_UNITTESTS_TRANSPORT_FLEET_SIMULATED_WORLD_H_
