#include "yuccamoor/coordination/fleet/crash_series.h"

#include <algorithm>
#include <map>

#include "yuccamoor/state/stable_hash.h"

namespace yuccamoor::fleet {

namespace {

// Enough to tell endpoint processes apart until a suspect is quarantined.
constexpr std::size_t kMaxCrashes = 16;
constexpr std::size_t kMaxEndpointsTogether = 16;
// More than one endpoint has without output at a time.
constexpr std::size_t kMaxRequests = 64;

}  // namespace

bool CrashSeries::Crash::Contains(const EndpointProcess& endpoint) const {
  return std::find(endpoints.begin(), endpoints.end(), endpoint) !=
         endpoints.end();
}

bool CrashSeries::Crash::BrokeOff(std::uint64_t request) const {
  return std::find(requests.begin(), requests.end(), request) != requests.end();
}

bool CrashSeries::Contains(const EndpointProcess& endpoint) const {
  return std::any_of(
      m_crashes.begin(), m_crashes.end(),
      [&](const Crash& crash) { return crash.Contains(endpoint); });
}

std::size_t CrashSeries::endpoints() const {
  std::size_t count = 0;
  for (const Crash& crash : m_crashes) count += crash.endpoints.size();
  return count;
}

CrashSeries::Crash& CrashSeries::Find(const EndpointProcess& endpoint,
                                      bool joins_last) {
  for (Crash& crash : m_crashes) {
    if (crash.Contains(endpoint)) return crash;
  }
  if (m_crashes.empty() || !joins_last) {
    if (m_crashes.size() == kMaxCrashes) m_crashes.erase(m_crashes.begin());
    m_crashes.emplace_back();
  }
  Crash& crash = m_crashes.back();
  if (crash.endpoints.size() < kMaxEndpointsTogether) {
    crash.endpoints.push_back(endpoint);
  }
  return crash;
}

void CrashSeries::Add(const EndpointProcess& endpoint, std::string_view request,
                      bool joins_last) {
  Crash& crash = Find(endpoint, joins_last);
  if (request.empty()) return;
  const std::uint64_t hash = StableHash(request);
  const bool is_new = !crash.BrokeOff(hash);
  if (is_new && crash.requests.size() < kMaxRequests) {
    crash.requests.push_back(hash);
  }
}

// Takes the request of the most crashes, and again of those that are left.
std::size_t CrashSeries::RequestsToExplain() const {
  std::vector<const Crash*> unexplained;
  unexplained.reserve(m_crashes.size());
  for (const Crash& crash : m_crashes) unexplained.push_back(&crash);
  std::size_t taken = 0;
  while (!unexplained.empty()) {
    std::map<std::uint64_t, std::size_t> counts;
    for (const Crash* crash : unexplained) {
      for (const std::uint64_t request : crash->requests) ++counts[request];
    }
    const auto most = std::max_element(
        counts.begin(), counts.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    const bool is_shared = most != counts.end() && most->second > 1;
    if (!is_shared) return taken + unexplained.size();
    ++taken;
    std::erase_if(unexplained, [&](const Crash* crash) {
      return crash->BrokeOff(most->first);
    });
  }
  return taken;
}

}  // namespace yuccamoor::fleet
