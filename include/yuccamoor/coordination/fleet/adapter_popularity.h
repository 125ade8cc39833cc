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
  /// With fewer than \p min_requests recent requests, an adapter does not
  /// count as popular. A node that sees a sample of the requests needs more of
  /// them than one that sees all.
  explicit AdapterPopularity(double min_requests = kMinSampledRequests)
      : m_min_requests(min_requests) {}

  void AddRequests(const AdapterRef& adapter, std::uint32_t requests,
                   TimeMs now);

  /// Returns how many of the \p engines should hold the adapter; at least 1.
  std::uint32_t DesiredCopies(const AdapterRef& adapter, std::uint32_t engines,
                              TimeMs now) const;

  /// The same for a node that sees only some adapters' requests, but all
  /// requests of those, while the whole fleet gets \p fleet_rate requests per
  /// second.
  std::uint32_t DesiredCopies(const AdapterRef& adapter, std::uint32_t engines,
                              double fleet_rate, TimeMs now) const;

  /// Returns the adapter's requests of the last second or two.
  double RecentRequests(const AdapterRef& adapter, TimeMs now) const;

  /// Removes adapters that are hardly requested any more.
  void Expire(TimeMs now);

 private:
  struct Count {
    double requests = 0;
    TimeMs updated;
  };

  std::uint32_t CopiesFor(const AdapterRef& adapter, std::uint32_t engines,
                          double total_requests, TimeMs now) const;
  static double DecayedRequests(const Count& count, TimeMs now);

  static constexpr double kMinSampledRequests = 6;

  double m_min_requests;
  std::map<AdapterRef, Count> m_counts;
  Count m_total;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_ADAPTER_POPULARITY_H_
