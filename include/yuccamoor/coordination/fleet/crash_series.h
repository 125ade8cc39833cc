/// \file
/// \brief The crashes of endpoints that one suspect has in common.

#ifndef YUCCAMOOR_COORDINATION_FLEET_CRASH_SERIES_H_
#define YUCCAMOOR_COORDINATION_FLEET_CRASH_SERIES_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "yuccamoor/state/fleet/endpoint_entry.h"

namespace yuccamoor::fleet {

/// Endpoints that crashed one after the other under a suspect, and which
/// requests with it each one broke off. Bounded: the oldest crashes go first.
class CrashSeries {
 public:
  /// Whether the endpoint process has crashed in this series.
  bool Contains(const EndpointProcess& endpoint) const;
  /// Records that the endpoint broke off the request, by its digest, or one
  /// that is not known if \p request is empty. An endpoint that is not in the
  /// series yet begins another crash, unless \p joins_last says that it crashed
  /// together with the last one.
  void Add(const EndpointProcess& endpoint, std::string_view request,
           bool joins_last);

  bool empty() const { return m_crashes.empty(); }
  /// The crashes; endpoints that crashed together count once.
  std::size_t crashes() const { return m_crashes.size(); }
  /// The endpoint processes that crashed.
  std::size_t endpoints() const;
  /// The fewest requests, or nearly so, of which each crash broke off one. A
  /// request that crashes endpoints by itself explains every crash that broke
  /// it off, whatever else these crashes have in common.
  std::size_t RequestsToExplain() const;

 private:
  struct Crash {
    std::vector<EndpointProcess> endpoints;
    // Hashes of digests, as there may be many.
    std::vector<std::uint64_t> requests;

    bool Contains(const EndpointProcess& endpoint) const;
    bool BrokeOff(std::uint64_t request) const;
  };

  // Returns the crash of which the endpoint is to be a part.
  Crash& Find(const EndpointProcess& endpoint, bool joins_last);

  std::vector<Crash> m_crashes;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_CRASH_SERIES_H_
