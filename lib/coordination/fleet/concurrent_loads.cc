#include "yuccamoor/coordination/fleet/concurrent_loads.h"

namespace yuccamoor::fleet {

namespace {

// About as long as a load takes while many are in flight.
constexpr DurationMs kSampleLifetime{700};
constexpr std::uint32_t kUncertainty = 2;

}  // namespace

void ConcurrentLoads::OnSample(const EndpointId& engine, std::uint32_t loading,
                               TimeMs now) {
  m_samples[engine] = {loading, now};
}

std::uint32_t ConcurrentLoads::Expected(std::size_t engines, TimeMs now) const {
  std::uint64_t loads = 0;
  std::uint64_t sampled = 0;
  for (const auto& [engine, sample] : m_samples) {
    if (now - sample.at > kSampleLifetime) continue;
    loads += sample.loading;
    ++sampled;
  }
  if (sampled == 0) return 0;
  return static_cast<std::uint32_t>(loads * engines / sampled);
}

std::uint32_t ConcurrentLoads::AtMost(std::size_t engines, TimeMs now) const {
  return Expected(engines, now) * kUncertainty;
}

void ConcurrentLoads::Expire(TimeMs now) {
  std::erase_if(m_samples, [now](const auto& item) {
    return now - item.second.at > kSampleLifetime;
  });
}

}  // namespace yuccamoor::fleet
