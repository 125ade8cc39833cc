#include "yuccamoor/coordination/fleet/adapter_popularity.h"

#include <algorithm>
#include <cmath>

namespace yuccamoor::fleet {

namespace {

// Time constant of the decay; short enough to follow demand that moves to other
// adapters within seconds.
constexpr double kTimeConstantMs = 1'500;
// Fraction of an engine's fair share of all requests that one copy of an
// adapter may take before the adapter gets another copy.
constexpr double kMaxEngineFraction = 0.4;
// Adapters whose decayed count is below this are removed.
constexpr double kMinTrackedRequests = 0.05;

}  // namespace

double AdapterPopularity::DecayedRequests(const Count& count, TimeMs now) {
  const auto age = static_cast<double>((now - count.updated).ms());
  return count.requests * std::exp(-age / kTimeConstantMs);
}

void AdapterPopularity::AddRequests(const AdapterRef& adapter,
                                    std::uint32_t requests, TimeMs now) {
  Count& count = m_counts[adapter];
  count = {DecayedRequests(count, now) + requests, now};
  m_total = {DecayedRequests(m_total, now) + requests, now};
}

std::uint32_t AdapterPopularity::DesiredCopies(const AdapterRef& adapter,
                                               std::uint32_t engines,
                                               TimeMs now) const {
  return CopiesFor(adapter, engines, DecayedRequests(m_total, now), now);
}

std::uint32_t AdapterPopularity::DesiredCopies(const AdapterRef& adapter,
                                               std::uint32_t engines,
                                               double fleet_rate,
                                               TimeMs now) const {
  constexpr double kMsPerSecond = 1'000;
  return CopiesFor(adapter, engines,
                   fleet_rate * kTimeConstantMs / kMsPerSecond, now);
}

std::uint32_t AdapterPopularity::CopiesFor(const AdapterRef& adapter,
                                           std::uint32_t engines,
                                           double total_requests,
                                           TimeMs now) const {
  const auto it = m_counts.find(adapter);
  if (it == m_counts.end() || engines == 0) return 1;
  const double requests = DecayedRequests(it->second, now);
  if (requests < m_min_requests || total_requests <= 0) return 1;
  const double copies =
      requests / total_requests * engines / kMaxEngineFraction;
  return static_cast<std::uint32_t>(
      std::clamp(std::ceil(copies), 1.0, static_cast<double>(engines)));
}

double AdapterPopularity::RecentRequests(const AdapterRef& adapter,
                                         TimeMs now) const {
  const auto it = m_counts.find(adapter);
  return it == m_counts.end() ? 0 : DecayedRequests(it->second, now);
}

void AdapterPopularity::Expire(TimeMs now) {
  std::erase_if(m_counts, [now](const auto& item) {
    return DecayedRequests(item.second, now) < kMinTrackedRequests;
  });
}

}  // namespace yuccamoor::fleet
