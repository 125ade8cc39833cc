/// \file
/// \brief Tracks which adapters get more requests than one engine can serve.

#ifndef YUCCAMOOR_COORDINATION_FLEET_ADAPTER_POPULARITY_H_
#define YUCCAMOOR_COORDINATION_FLEET_ADAPTER_POPULARITY_H_

#include <cstdint>
#include <map>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/fleet/endpoint_entry.h"

namespace yuccamoor::fleet {

/// Counts the requests of all nodes by adapter, with exponential decay.
class AdapterPopularity {
 public:
  void AddRequests(const AdapterRef& adapter, std::uint32_t requests,
                   TimeMs now);

  /// Returns how many of the \p engines should hold the adapter; at least 1.
  std::uint32_t DesiredCopies(const AdapterRef& adapter, std::uint32_t engines,
                              TimeMs now) const;

  /// Removes adapters that are hardly requested any more.
  void Expire(TimeMs now);

 private:
  struct Count {
    double requests = 0;
    TimeMs updated;
  };

  static double DecayedRequests(const Count& count, TimeMs now);

  std::map<AdapterRef, Count> m_counts;
  Count m_total;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_ADAPTER_POPULARITY_H_
