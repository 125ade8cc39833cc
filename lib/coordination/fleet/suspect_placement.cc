#include "yuccamoor/coordination/fleet/suspect_placement.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "yuccamoor/state/stable_hash.h"

namespace yuccamoor::fleet {

namespace {

// One broken call may have another cause: the request is repeated wherever that
// is possible.
constexpr std::size_t kEndpointsToKeepBack = 2;

using Candidates = std::vector<EndpointId>;

// Rendezvous hashing: spreads requests, while each has its own order.
std::uint64_t Score(const CrashSuspect& request, const EndpointId& endpoint) {
  return StableBucketHash(request.id + " " + endpoint.str());
}

bool IsExcluded(const SuspectQuery& query, const EndpointId& id) {
  return std::find(query.excluded.begin(), query.excluded.end(), id) !=
         query.excluded.end();
}

// Returns the endpoint that comes first for the request, of those to which it
// was not sent yet if there are any.
EndpointId FirstOf(const Candidates& candidates, const SuspectQuery& query) {
  return *std::max_element(candidates.begin(), candidates.end(),
                           [&](const EndpointId& a, const EndpointId& b) {
                             const bool a_excluded = IsExcluded(query, a);
                             const bool b_excluded = IsExcluded(query, b);
                             if (a_excluded != b_excluded) return a_excluded;
                             return Score(query.request, a) <
                                    Score(query.request, b);
                           });
}

}  // namespace

SuspectPlacement PlaceSuspect(const EndpointTable& table,
                              const CrashQuarantine& quarantine,
                              const SuspectQuery& query, TimeMs now) {
  const std::size_t ended = quarantine.RecentlyBrokenOff(query.request, now);
  if (ended == 0) return {};
  std::size_t registered = 0;
  Candidates candidates;
  for (const auto& [id, endpoint] : table.all()) {
    if (endpoint.entry.service != query.service) continue;
    ++registered;
    const EndpointProcess process{id, endpoint.entry.start_unix_ms};
    const bool is_up = EndpointTable::Usable(endpoint, now) &&
                       !quarantine.MayHaveEnded(process, now);
    if (is_up) candidates.push_back(id);
  }
  const bool is_last = registered > 1 && candidates.size() <= 1;
  if (is_last && ended >= kEndpointsToKeepBack) return {true, std::nullopt};
  if (candidates.empty()) return {};
  return {false, FirstOf(candidates, query)};
}

}  // namespace yuccamoor::fleet
