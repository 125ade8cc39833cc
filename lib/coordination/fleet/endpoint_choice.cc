#include "yuccamoor/coordination/fleet/endpoint_choice.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>

#include "yuccamoor/coordination/fleet/prefill_pacing.h"
#include "yuccamoor/state/stable_hash.h"

namespace yuccamoor::fleet {

namespace {

// Prefill time that weighs as much as one running request.
constexpr double kBacklogMsPerRequest = 8;
// An engine this much above the average takes no further adapter while others
// are less loaded.
constexpr double kPlaceLoadFactor = 1.6;
constexpr double kPlaceLoadMargin = 8;
// Requests that a plain endpoint of the same failure domain may run beyond
// one elsewhere before that one is preferred.
constexpr double kSameDomainAdvantage = 0.35;

using Candidates = std::vector<const Endpoint*>;

bool IsExcluded(const EndpointQuery& query, const EndpointId& id) {
  return std::find(query.excluded.begin(), query.excluded.end(), id) !=
         query.excluded.end();
}

Candidates FindCandidates(const EndpointTable& table,
                          const EndpointQuery& query, TimeMs now) {
  Candidates healthy;
  Candidates doubtful;
  for (const auto& [id, endpoint] : table.all()) {
    if (endpoint.entry.service != query.service) continue;
    if (!EndpointTable::Usable(endpoint, now)) continue;
    if (IsExcluded(query, id)) continue;
    const bool closed = endpoint.breaker.Allows(now);
    (closed ? healthy : doubtful).push_back(&endpoint);
  }
  return healthy.empty() ? doubtful : healthy;
}

double LoadRatio(const Endpoint& endpoint) {
  const double slots = std::max<std::uint32_t>(endpoint.entry.slots, 1);
  return endpoint.load() / slots;
}

const Endpoint* LeastLoaded(const Candidates& candidates,
                            const FailureDomainId& domain) {
  const Endpoint* best = nullptr;
  double best_cost = 0;
  for (const Endpoint* endpoint : candidates) {
    double cost = LoadRatio(*endpoint);
    if (endpoint->entry.domain != domain) cost += kSameDomainAdvantage;
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
           AdapterRevision at_least) {
  if (adapter.name.empty()) return endpoint.HasModel(adapter.model);
  const auto it = endpoint.adapters.find(adapter);
  return it != endpoint.adapters.end() && it->second >= at_least;
}

double AverageLoad(const Candidates& candidates) {
  double sum = 0;
  for (const Endpoint* endpoint : candidates) sum += endpoint->load();
  return sum / static_cast<double>(candidates.size());
}

// Engines that may load the adapter, best first: by rendezvous order, but
// engines that hold an older version (their runs would delay the replacement)
// or are far busier than the others come last.
std::vector<EndpointId> PlacesFor(const Candidates& candidates,
                                  const AdapterRef& adapter, double average) {
  struct Place {
    bool last_resort;
    std::uint64_t score;
    const Endpoint* endpoint;
  };
  std::vector<Place> places;
  const std::string name = ToString(adapter);
  for (const Endpoint* endpoint : candidates) {
    const bool busy =
        endpoint->load() > average * kPlaceLoadFactor + kPlaceLoadMargin;
    const bool older = endpoint->adapters.contains(adapter);
    const bool empty = !endpoint->HasModel(adapter.model);
    places.push_back(
        {busy || older || empty, RendezvousScore(name, *endpoint), endpoint});
  }
  std::sort(places.begin(), places.end(), [](const Place& a, const Place& b) {
    if (a.last_resort != b.last_resort) return b.last_resort;
    return a.score > b.score;
  });
  std::vector<EndpointId> ids;
  ids.reserve(places.size());
  for (const Place& place : places) ids.push_back(place.endpoint->entry.id);
  return ids;
}

Candidates HoldersOf(const Candidates& candidates, const AdapterRef& adapter,
                     AdapterRevision at_least) {
  Candidates holders;
  for (const Endpoint* endpoint : candidates) {
    if (Holds(*endpoint, adapter, at_least)) holders.push_back(endpoint);
  }
  return holders;
}

// Engines that may answer with any version: those that hold the wanted one, and
// those that hold an older one and begin at once. A request that queues could
// begin when the older version is no longer accepted.
Candidates HoldersOfAny(const Candidates& candidates,
                        const EndpointQuery& query) {
  Candidates holders;
  for (const Endpoint* endpoint : candidates) {
    const bool begins_at_once = endpoint->load() < endpoint->entry.slots;
    const AdapterRevision oldest =
        begins_at_once ? AdapterRevision() : query.version;
    if (Holds(*endpoint, *query.adapter, oldest)) holders.push_back(endpoint);
  }
  return holders;
}

// Engines without the adapter, in the order in which all nodes choose them.
std::vector<EndpointId> PlacesForCopy(const Candidates& candidates,
                                      const Candidates& holders,
                                      const AdapterRef& adapter,
                                      double average) {
  Candidates others;
  for (const Endpoint* endpoint : candidates) {
    if (std::find(holders.begin(), holders.end(), endpoint) == holders.end()) {
      others.push_back(endpoint);
    }
  }
  return PlacesFor(others, adapter, average);
}

// The engine that begins with a prompt soonest.
const Endpoint* Freest(const Candidates& holders, TimeMs now) {
  const Endpoint* best = nullptr;
  double least = 0;
  for (const Endpoint* holder : holders) {
    const auto backlog = static_cast<double>(PrefillBacklog(*holder, now).ms());
    const double cost = holder->load() + backlog / kBacklogMsPerRequest;
    if (best && cost >= least) continue;
    best = holder;
    least = cost;
  }
  return best;
}

EndpointChoice ChooseEngine(const Candidates& candidates,
                            const EndpointQuery& query, TimeMs now) {
  EndpointChoice choice;
  choice.any_usable = true;
  const AdapterRef& adapter = *query.adapter;
  const double average = AverageLoad(candidates);
  const Candidates holders = HoldersOf(candidates, adapter, query.version);
  const bool in_place = !holders.empty();
  // While both versions may answer, the few engines with the newer one do not
  // take all requests of a busy adapter.
  const Endpoint* target = Freest(
      query.accept_older ? HoldersOfAny(candidates, query) : holders, now);
  if (target) choice.send_to = target->entry.id;
  if (!in_place) {
    choice.load_at = PlacesFor(candidates, adapter, average);
  } else if (!adapter.name.empty() && holders.size() < query.copies) {
    choice.load_at = PlacesForCopy(candidates, holders, adapter, average);
  }
  return choice;
}

}  // namespace

EndpointChoice ChooseEndpoint(const EndpointTable& table,
                              const EndpointQuery& query, TimeMs now) {
  const Candidates candidates = FindCandidates(table, query, now);
  if (candidates.empty()) return {};
  if (query.adapter) return ChooseEngine(candidates, query, now);
  EndpointChoice choice;
  choice.any_usable = true;
  choice.send_to = LeastLoaded(candidates, query.domain)->entry.id;
  return choice;
}

}  // namespace yuccamoor::fleet
