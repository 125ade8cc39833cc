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
// With fewer requests than this, the count does not show whether an adapter is
// popular.
constexpr double kMinRequests = 6;
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
  const auto it = m_counts.find(adapter);
  if (it == m_counts.end() || engines == 0) return 1;
  const double requests = DecayedRequests(it->second, now);
  const double total = DecayedRequests(m_total, now);
  if (requests < kMinRequests || total <= 0) return 1;
  const double copies = requests / total * engines / kMaxEngineFraction;
  return std::clamp(static_cast<std::uint32_t>(std::ceil(copies)), 1U, engines);
}

void AdapterPopularity::Expire(TimeMs now) {
  std::erase_if(m_counts, [now](const auto& item) {
    return DecayedRequests(item.second, now) < kMinTrackedRequests;
  });
}

}  // namespace yuccamoor::fleet
