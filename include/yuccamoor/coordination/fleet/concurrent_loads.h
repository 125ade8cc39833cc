/// \file
/// \brief Estimates how many adapters all engines load at once, in fleets whose
/// nodes do not tell each other.

#ifndef YUCCAMOOR_COORDINATION_FLEET_CONCURRENT_LOADS_H_
#define YUCCAMOOR_COORDINATION_FLEET_CONCURRENT_LOADS_H_

#include <cstdint>
#include <map>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor::fleet {

/// A mean over the engines that were heard of lately. Adapters are spread over
/// the engines by hash, so any few engines are a fair sample of all.
class ConcurrentLoads {
 public:
  /// Records how many adapters an engine loads at \p now.
  void OnSample(const EndpointId& engine, std::uint32_t loading, TimeMs now);

  /// Returns the expected number of loads in flight to \p engines engines.
  std::uint32_t Expected(std::size_t engines, TimeMs now) const;
  /// Returns a number that the loads in flight seldom exceed: the samples are
  /// few, and loads begin that no sample shows yet.
  std::uint32_t AtMost(std::size_t engines, TimeMs now) const;

  /// Removes samples that are too old to count.
  void Expire(TimeMs now);

 private:
  struct Sample {
    std::uint32_t loading = 0;
    TimeMs at;
  };

  std::map<EndpointId, Sample> m_samples;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_CONCURRENT_LOADS_H_
