#include "yuccamoor/coordination/fleet/endpoint_choice.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>

#include "yuccamoor/coordination/fleet/prefill_pacing.h"
#include "yuccamoor/state/stable_hash.h"

namespace yuccamoor::fleet {

namespace {

// An engine whose load exceeds average * factor + margin (in requests) loads no
// further adapter while others are less loaded.
constexpr double kOverloadFactor = 1.6;
constexpr double kOverloadMargin = 8;
// Load ratio (requests per slot) by which a plain endpoint of the client's
// failure domain may exceed one of another domain and still be preferred.
constexpr double kOtherDomainPenalty = 0.35;
// When plain endpoints that take no request now are compared, this wait counts
// as much as one request per slot.
constexpr double kWaitMsPerLoadRatio = 100;

using Candidates = std::vector<const Endpoint*>;

bool IsExcluded(const EndpointQuery& query, const EndpointId& id) {
  return std::find(query.excluded.begin(), query.excluded.end(), id) !=
         query.excluded.end();
}

Candidates FindCandidates(const EndpointTable& table,
                          const EndpointQuery& query, TimeMs now) {
  Candidates healthy;
  Candidates breaker_blocked;
  Candidates closed;
  for (const auto& [id, endpoint] : table.all()) {
    if (endpoint.entry.service != query.service) continue;
    if (!EndpointTable::Usable(endpoint, now)) continue;
    if (IsExcluded(query, id)) continue;
    if (endpoint.intake.opens_at() > now) {
      closed.push_back(&endpoint);
    } else if (endpoint.breaker.Allows(now)) {
      healthy.push_back(&endpoint);
    } else {
      breaker_blocked.push_back(&endpoint);
    }
  }
  if (!healthy.empty()) return healthy;
  return breaker_blocked.empty() ? closed : breaker_blocked;
}

double LoadRatio(const Endpoint& endpoint) {
  const double slots = std::max<std::uint32_t>(endpoint.entry.slots, 1);
  return endpoint.load() / slots;
}

// Returns up to one request's load, different for each request and endpoint.
double SpreadCost(const EndpointQuery& query, const Endpoint& endpoint) {
  if (!query.spread) return 0;
  constexpr std::uint64_t kSteps = 256;
  const std::uint64_t hash = StableBucketHash(endpoint.entry.id.str() + "#" +
                                              std::to_string(*query.spread));
  const double slots = std::max<std::uint32_t>(endpoint.entry.slots, 1);
  return static_cast<double>(hash % kSteps) / kSteps / slots;
}

const Endpoint* FindLeastLoaded(const Candidates& candidates,
                                const EndpointQuery& query, TimeMs now) {
  const Endpoint* best = nullptr;
  double best_cost = 0;
  for (const Endpoint* endpoint : candidates) {
    double cost = LoadRatio(*endpoint) + SpreadCost(query, *endpoint);
    if (endpoint->entry.domain != query.domain) cost += kOtherDomainPenalty;
    cost += static_cast<double>(endpoint->intake.TimeToOpen(now).ms()) /
            kWaitMsPerLoadRatio;
    if (!best || cost < best_cost) {
      best = endpoint;
      best_cost = cost;
    }
  }
  return best;
}

std::uint64_t RendezvousScore(const std::string& adapter,
                              const Endpoint& endpoint) {
  return StableBucketHash(adapter + "@" + endpoint.entry.id.str());
}

bool Holds(const Endpoint& endpoint, const AdapterRef& adapter,
           AdapterRevision min_version) {
  if (adapter.name.empty()) return endpoint.HasModel(adapter.model);
  const auto it = endpoint.adapters.find(adapter);
  return it != endpoint.adapters.end() && it->second >= min_version;
}

double AverageLoad(const Candidates& candidates) {
  double sum = 0;
  for (const Endpoint* endpoint : candidates) sum += endpoint->load();
  return sum / static_cast<double>(candidates.size());
}

// Returns the engines that may load the adapter, best first, in rendezvous
// order. Engines come last that hold an older version (their running requests
// would delay the replacement), lack the base model, limit their requests or
// are far busier than the others.
std::vector<EndpointId> RankLoadCandidates(const Candidates& candidates,
                                           const AdapterRef& adapter,
                                           double average) {
  struct RankedEngine {
    bool last_resort;
    std::uint64_t score;
    const Endpoint* endpoint;
  };
  std::vector<RankedEngine> ranked;
  const std::string name = ToString(adapter);
  for (const Endpoint* endpoint : candidates) {
    const bool busy =
        endpoint->load() > average * kOverloadFactor + kOverloadMargin;
    const bool holds_older_version = endpoint->adapters.contains(adapter);
    const bool lacks_model = !endpoint->HasModel(adapter.model);
    const bool limited = endpoint->intake.limit().has_value();
    ranked.push_back({busy || holds_older_version || lacks_model || limited,
                      RendezvousScore(name, *endpoint), endpoint});
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const RankedEngine& a, const RankedEngine& b) {
              if (a.last_resort != b.last_resort) return b.last_resort;
              return a.score > b.score;
            });
  std::vector<EndpointId> ids;
  ids.reserve(ranked.size());
  for (const RankedEngine& engine : ranked)
    ids.push_back(engine.endpoint->entry.id);
  return ids;
}

Candidates FindHolders(const Candidates& candidates, const AdapterRef& adapter,
                       AdapterRevision min_version) {
  Candidates holders;
  for (const Endpoint* endpoint : candidates) {
    if (Holds(*endpoint, adapter, min_version)) holders.push_back(endpoint);
  }
  return holders;
}

// Returns the engines that hold the newest version, and those that hold an
// older one that may still serve and have a free slot. A request queued for an
// older version could start after that version is no longer accepted.
Candidates FindHoldersOfUsableVersions(const Candidates& candidates,
                                       const EndpointQuery& query) {
  Candidates holders;
  for (const Endpoint* endpoint : candidates) {
    const bool has_free_slot = endpoint->load() < endpoint->entry.slots;
    const AdapterRevision least =
        has_free_slot ? query.least_version : query.version;
    if (Holds(*endpoint, *query.adapter, least)) holders.push_back(endpoint);
  }
  return holders;
}

// Returns the engines without the adapter, ranked in the same order on every
// node.
std::vector<EndpointId> RankCopyCandidates(const Candidates& candidates,
                                           const Candidates& holders,
                                           const AdapterRef& adapter,
                                           double average) {
  Candidates others;
  for (const Endpoint* endpoint : candidates) {
    if (std::find(holders.begin(), holders.end(), endpoint) == holders.end()) {
      others.push_back(endpoint);
    }
  }
  return RankLoadCandidates(others, adapter, average);
}

// Returns the engine that would start a prompt earliest, or nullptr if there
// are no holders.
const Endpoint* FindEarliestStart(const Candidates& holders, TimeMs now) {
  const Endpoint* best = nullptr;
  double least_cost = 0;
  for (const Endpoint* holder : holders) {
    const DurationMs wait =
        PrefillBacklog(*holder, now) + holder->intake.TimeToOpen(now);
    const double cost =
        holder->load() + static_cast<double>(wait.ms()) / kWaitMsPerRequest;
    if (best && cost >= least_cost) continue;
    best = holder;
    least_cost = cost;
  }
  return best;
}

// Returns the engines that hold the adapter and take the next request soon.
Candidates FindOpeningHolders(const EndpointTable& table,
                              const EndpointQuery& query, TimeMs now) {
  Candidates opening;
  for (const auto& [id, endpoint] : table.all()) {
    if (endpoint.entry.service != query.service) continue;
    if (!EndpointTable::Usable(endpoint, now)) continue;
    if (IsExcluded(query, id) || !endpoint.breaker.Allows(now)) continue;
    if (endpoint.intake.opens_at() <= query.wait_until) {
      opening.push_back(&endpoint);
    }
  }
  return FindHolders(opening, *query.adapter, query.version);
}

EndpointChoice ChooseEngine(const EndpointTable& table,
                            const Candidates& candidates,
                            const EndpointQuery& query, TimeMs now) {
  EndpointChoice choice;
  choice.any_usable = true;
  const AdapterRef& adapter = *query.adapter;
  const double average = AverageLoad(candidates);
  Candidates holders = FindHolders(candidates, adapter, query.version);
  if (holders.empty()) holders = FindOpeningHolders(table, query, now);
  const bool has_holder = !holders.empty();
  // While older versions may serve, their holders share the requests, so that
  // the few engines with the newest version are not overloaded.
  const Endpoint* target =
      FindEarliestStart(query.least_version < query.version
                            ? FindHoldersOfUsableVersions(candidates, query)
                            : holders,
                        now);
  if (target) choice.send_to = target->entry.id;
  if (!has_holder) {
    choice.load_candidates = RankLoadCandidates(candidates, adapter, average);
  } else if (!adapter.name.empty() && holders.size() < query.copies) {
    choice.load_candidates =
        RankCopyCandidates(candidates, holders, adapter, average);
  }
  return choice;
}

}  // namespace

std::vector<EndpointId> RankByRendezvous(const EndpointTable& table,
                                         const EndpointQuery& query,
                                         TimeMs now) {
  std::vector<std::pair<std::uint64_t, const Endpoint*>> ranked;
  const std::string name = ToString(*query.adapter);
  for (const Endpoint* endpoint : FindCandidates(table, query, now)) {
    if (!endpoint->HasModel(query.adapter->model)) continue;
    ranked.emplace_back(RendezvousScore(name, *endpoint), endpoint);
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<EndpointId> engines;
  engines.reserve(ranked.size());
  for (const auto& [score, endpoint] : ranked) {
    engines.push_back(endpoint->entry.id);
  }
  return engines;
}

EndpointChoice ChooseEndpoint(const EndpointTable& table,
                              const EndpointQuery& query, TimeMs now) {
  const Candidates candidates = FindCandidates(table, query, now);
  if (candidates.empty()) return {};
  if (query.adapter) return ChooseEngine(table, candidates, query, now);
  EndpointChoice choice;
  choice.any_usable = true;
  choice.send_to = FindLeastLoaded(candidates, query, now)->entry.id;
  return choice;
}

}  // namespace yuccamoor::fleet
