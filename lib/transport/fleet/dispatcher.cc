#include "yuccamoor/transport/fleet/dispatcher.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "yuccamoor/coordination/fleet/fleet_size.h"

namespace yuccamoor::fleet {

namespace {

// A question that may have been lost is asked again.
constexpr DurationMs kAskAgain{250};
// New requests for it are told sooner.
constexpr DurationMs kTellDemand{40};
// Another engine is asked when the first one's holder does not answer.
constexpr DurationMs kAskAnother{400};
constexpr std::size_t kMaxHomes = 16'384;
// Tables of thousands of adapters are swept this often only.
constexpr DurationMs kSweepInterval{1'000};
constexpr DurationMs kAskLifetime{3'000};
constexpr DurationMs kOrderingLifetime{1'200};
constexpr DurationMs kPeerLifetime{1'500};
// What an endpoint has said of its load says little of later.
constexpr DurationMs kToldLoadLifetime{1'000};

}  // namespace

Dispatcher::Dispatcher(NodeContext& context, SendToPeer send,
                       Broadcast broadcast)
    : m_context(context),
      m_send(std::move(send)),
      m_broadcast(std::move(broadcast)) {}

bool Dispatcher::AllowsPrompt(const EndpointId& engine,
                              const PromptOffer& prompt) const {
  const Endpoint* known = m_context.view.endpoints().Find(engine);
  return !known || fleet::AllowsPrompt(*known, prompt, m_context.clock.Now());
}

void Dispatcher::OnPrompt(const EndpointId& engine, std::uint32_t tokens) {
  OnPeerPrompt({engine, tokens});
  // A few prompts at once hold up an engine's streams.
  if (!IsLarge()) m_broadcast(TellPrompt{engine, tokens});
}

void Dispatcher::OnPeerPrompt(const TellPrompt& told) {
  Endpoint* known = m_context.view.endpoints().Find(told.engine);
  if (known) RecordPrompt(*known, told.tokens, m_context.clock.Now());
}

EndpointChoice Dispatcher::Choose(EndpointQuery query, int priority) {
  const TimeMs now = m_context.clock.Now();
  if (query.adapter && !query.adapter->name.empty()) {
    query.copies = m_popularity.DesiredCopies(
        *query.adapter, CountEngines(query.service, now), now);
  }
  EndpointChoice choice =
      ChooseEndpoint(m_context.view.endpoints(), query, now);
  if (!choice.load_candidates.empty() && query.adapter &&
      !query.adapter->name.empty()) {
    AskForLoad(query, priority, choice.load_candidates, !choice.send_to);
  }
  return choice;
}

bool Dispatcher::IsLarge() const {
  return m_context.view.nodes().size() > kMaxSmallFleetNodes;
}

EndpointChoice Dispatcher::ChooseKnown(const EndpointQuery& query) const {
  return ChooseEndpoint(m_context.view.endpoints(), query,
                        m_context.clock.Now());
}

bool Dispatcher::AnyOrdering(const ServiceId& service) const {
  const TimeMs now = m_context.clock.Now();
  const auto& all = m_context.view.endpoints().all();
  return std::any_of(all.begin(), all.end(), [&](const auto& item) {
    return item.second.entry.service == service && IsOrdering(item.first, now);
  });
}

std::uint32_t Dispatcher::CountEngines(const ServiceId& service,
                                       TimeMs now) const {
  std::uint32_t engines = 0;
  for (const auto& [id, endpoint] : m_context.view.endpoints().all()) {
    const bool counts = endpoint.entry.service == service &&
                        EndpointTable::Usable(endpoint, now);
    if (counts) ++engines;
  }
  return engines;
}

bool Dispatcher::IsOrdering(const EndpointId& engine, TimeMs now) const {
  const auto it = m_ordering.find(engine);
  return it != m_ordering.end() && now - it->second.told < kOrderingLifetime;
}

void Dispatcher::AskForLoad(const EndpointQuery& query, int priority,
                            const std::vector<EndpointId>& places,
                            bool urgent) {
  const TimeMs now = m_context.clock.Now();
  std::vector<Asked>& asked = m_asked[*query.adapter];
  std::erase_if(asked, [&](const Asked& item) {
    return now - item.first > kAskLifetime || !IsOrdering(item.engine, now);
  });
  const std::uint32_t demand = DemandFor(*query.adapter).requests;
  for (Asked& item : asked) {
    const DurationMs pause = demand > item.demand ? kTellDemand : kAskAgain;
    if (now - item.at >= pause) Ask(query, priority, item);
  }
  // A holder that has answered is loading it: a second load elsewhere would
  // only take from the weight store's rate.
  const bool answered =
      std::any_of(asked.begin(), asked.end(),
                  [](const Asked& item) { return item.expected.has_value(); });
  if (answered || (!urgent && !asked.empty())) return;
  if (!asked.empty() && now - asked.back().first < kAskAnother) return;
  const auto engine = PlaceToAsk(*query.adapter, places, asked, now);
  if (!engine) return;
  asked.push_back({*engine, now, now, 0, std::nullopt});
  // Until the holder tells its state again.
  ++m_ordering[*engine].waiting;
  Ask(query, priority, asked.back());
}

void Dispatcher::AddDemand(const AdapterRef& adapter, TimeMs on_time_until) {
  WaitingDemand& demand = m_demand[adapter];
  ++demand.requests;
  demand.on_time_until = std::max(demand.on_time_until, on_time_until);
}

WaitingDemand Dispatcher::DemandFor(const AdapterRef& adapter) const {
  const auto it = m_demand.find(adapter);
  return it == m_demand.end() ? WaitingDemand() : it->second;
}

// Returns the engine that held the adapter last, else the one of the first two
// where fewer loads wait. More than two would draw all nodes to one engine
// while its state is told late.
std::optional<EndpointId> Dispatcher::PlaceToAsk(
    const AdapterRef& adapter, const std::vector<EndpointId>& places,
    const std::vector<Asked>& asked, TimeMs now) const {
  const auto home = m_homes.find(adapter);
  std::vector<EndpointId> open;
  for (const EndpointId& engine : places) {
    const bool known =
        std::any_of(asked.begin(), asked.end(),
                    [&](const Asked& item) { return item.engine == engine; });
    if (known || !IsOrdering(engine, now)) continue;
    // Its runs would delay the replacement of an older version.
    const Endpoint* endpoint = m_context.view.endpoints().Find(engine);
    const bool holds_older = endpoint && endpoint->adapters.contains(adapter);
    const bool is_home = home != m_homes.end() && home->second == engine;
    if (is_home && !holds_older) return engine;
    open.push_back(engine);
  }
  if (open.empty()) return std::nullopt;
  if (open.size() == 1) return open.front();
  const bool second_is_freer =
      m_ordering.at(open[1]).waiting < m_ordering.at(open[0]).waiting;
  return second_is_freer ? open[1] : open[0];
}

void Dispatcher::NoteHomes(const EndpointId& engine,
                           const AdapterSet& adapters) {
  for (const auto& [adapter, version] : adapters) {
    m_homes.try_emplace(adapter, engine);
    if (m_homes.size() > kMaxHomes) m_homes.erase(m_homes.begin());
  }
}

void Dispatcher::NoteOrdering(const EndpointId& engine,
                              const HeldEngineStatus& held) {
  if (!held.ordering) return;
  m_ordering[engine] = {m_context.clock.Now(), held.waiting + held.loading};
}

void Dispatcher::Ask(const EndpointQuery& query, int priority, Asked& asked) {
  const EndpointId& engine = asked.engine;
  const auto& holders = m_context.view.holders();
  const auto holder = holders.find(engine);
  if (holder == holders.end()) return;
  AskLoad ask;
  ask.node = m_context.settings.node;
  ask.engine = engine;
  ask.adapter = *query.adapter;
  ask.version = query.version;
  ask.priority = priority;
  const TimeMs now = m_context.clock.Now();
  const WaitingDemand demand = DemandFor(ask.adapter);
  ask.demand = demand.requests;
  ask.on_time = demand.on_time_until - now;
  asked.at = now;
  asked.demand = demand.requests;
  m_context.log.Event("load_asked")
      .Text("engine", engine.str())
      .Text("adapter", ToString(ask.adapter))
      .Number("demand", ask.demand)
      .Ms("on_time_ms", ask.on_time)
      .Text("holder", holder->second.node.str());
  m_send(holder->second.node, ask);
}

void Dispatcher::OnBegin(const EndpointId& endpoint,
                         const std::optional<AdapterRef>& adapter) {
  if (Endpoint* known = m_context.view.endpoints().Find(endpoint)) {
    ++known->in_flight;
    known->breaker.OnStart(m_context.clock.Now());
  }
  if (!adapter) return;
  ++m_running[endpoint][*adapter];
  if (IsLarge()) {
    m_use.OnBegin(endpoint, *adapter);
  } else {
    ++m_begun[endpoint][*adapter];
  }
}

void Dispatcher::OnEnd(const EndpointId& endpoint,
                       const std::optional<AdapterRef>& adapter) {
  if (Endpoint* known = m_context.view.endpoints().Find(endpoint)) {
    if (known->in_flight > 0) --known->in_flight;
  }
  if (!adapter) return;
  m_use.OnEnd(endpoint, *adapter);
  auto& running = m_running[endpoint];
  const auto it = running.find(*adapter);
  if (it == running.end()) return;
  if (--it->second == 0) running.erase(it);
  if (running.empty()) m_running.erase(endpoint);
}

void Dispatcher::OnMissing(const EndpointId& engine,
                           const AdapterRef& adapter) {
  if (Endpoint* known = m_context.view.endpoints().Find(engine)) {
    known->adapters.erase(adapter);
  }
  const auto holder = m_context.view.holders().find(engine);
  if (holder == m_context.view.holders().end()) return;
  m_send(holder->second.node, TellMissing{engine, adapter});
}

std::optional<TellInUse> Dispatcher::OnRetired(const TellRetired& told) {
  const auto running = m_running.find(told.engine);
  if (running != m_running.end() && running->second.contains(told.adapter)) {
    return TellInUse{told.engine, told.adapter};
  }
  Endpoint* engine = m_context.view.endpoints().Find(told.engine);
  if (engine) engine->adapters.erase(told.adapter);
  return std::nullopt;
}

void Dispatcher::OnPeerStatus(const NodeStatus& status) {
  const TimeMs now = m_context.clock.Now();
  m_peers[status.node] = {now, status};
  NotePopularity(status.used, now);
  NoteHeld(status.held, now);
  ShowPeerLoads(m_peer_loads.Set(status.node, status.in_flight));
}

void Dispatcher::NotePopularity(const UsedAdapters& used, TimeMs now) {
  for (const auto& [engine, adapters] : used) {
    for (const auto& [adapter, requests] : adapters) {
      if (requests > 0) m_popularity.AddRequests(adapter, requests, now);
    }
  }
}

void Dispatcher::OnLocalHeld(
    const std::map<EndpointId, HeldEngineStatus>& held) {
  NoteHeld(held, m_context.clock.Now());
}

void Dispatcher::NoteHeld(const std::map<EndpointId, HeldEngineStatus>& held,
                          TimeMs now) {
  EndpointTable& endpoints = m_context.view.endpoints();
  for (const auto& [engine, state] : held) {
    NoteOrdering(engine, state);
    m_loads.OnSample(engine, state.loading, now);
    if (endpoints.SetAdapters(engine, state.adapters, now)) {
      NoteHomes(engine, state.adapters);
    }
  }
}

void Dispatcher::OnLoaded(const TellLoaded& told) {
  m_asked.erase(told.adapter);
  m_demand.erase(told.adapter);
  Endpoint* engine = m_context.view.endpoints().Find(told.engine);
  if (!engine) return;
  engine->adapters[told.adapter] = told.version;
  engine->adapters_reported_at = m_context.clock.Now();
}

void Dispatcher::OnQueued(const TellQueued& told) {
  const auto it = m_asked.find(told.adapter);
  if (it == m_asked.end()) return;
  for (Asked& item : it->second) {
    if (item.engine != told.engine) continue;
    item.expected = m_context.clock.Now() + told.wait;
  }
}

std::optional<TimeMs> Dispatcher::ExpectedAt(const AdapterRef& adapter) const {
  const auto it = m_asked.find(adapter);
  if (it == m_asked.end()) return std::nullopt;
  std::optional<TimeMs> soonest;
  for (const Asked& item : it->second) {
    if (item.expected && (!soonest || *item.expected < *soonest)) {
      soonest = item.expected;
    }
  }
  return soonest;
}

bool Dispatcher::SomeNodeWithoutStore() const {
  return std::any_of(m_peers.begin(), m_peers.end(), [](const auto& item) {
    return !item.second.status.store.fresh;
  });
}

void Dispatcher::ShowPeerLoads(const std::vector<EndpointId>& changed) {
  for (const EndpointId& id : changed) {
    Endpoint* endpoint = m_context.view.endpoints().Find(id);
    if (endpoint) endpoint->peers_in_flight = m_peer_loads.Sum(id);
  }
}

std::uint32_t Dispatcher::LoadsElsewhere() const {
  if (IsLarge()) {
    return m_loads.Expected(m_context.view.endpoints().all().size(),
                            m_context.clock.Now());
  }
  std::uint32_t loads = 0;
  for (const auto& [node, peer] : m_peers) {
    for (const auto& [engine, held] : peer.status.held) loads += held.loading;
  }
  return loads;
}

std::uint32_t Dispatcher::MaxLoadsElsewhere() const {
  if (!IsLarge()) return LoadsElsewhere();
  return m_loads.AtMost(m_context.view.endpoints().all().size(),
                        m_context.clock.Now());
}

NodeStatus Dispatcher::TakeStatus() {
  NodeStatus status;
  status.node = m_context.settings.node;
  for (const auto& [id, endpoint] : m_context.view.endpoints().all()) {
    if (endpoint.in_flight > 0) status.in_flight[id] = endpoint.in_flight;
  }
  NotePopularity(m_begun, m_context.clock.Now());
  status.used = std::move(m_begun);
  m_begun.clear();
  for (const auto& [engine, adapters] : m_running) {
    for (const auto& [adapter, count] : adapters) {
      // Counts what is under way once, with the weight of no new request.
      status.used[engine].try_emplace(adapter, 0);
    }
  }
  return status;
}

void Dispatcher::OnTick(TimeMs now) {
  for (auto it = m_peers.begin(); it != m_peers.end();) {
    const bool silent = now - it->second.heard > kPeerLifetime;
    if (silent) ShowPeerLoads(m_peer_loads.Remove(it->first));
    it = silent ? m_peers.erase(it) : std::next(it);
  }
  for (auto it = m_peer_uses.begin(); it != m_peer_uses.end();) {
    const bool silent = now - it->second.heard > kPeerLifetime;
    if (silent) ShowPeerLoads(m_peer_loads.Remove(it->first));
    it = silent ? m_peer_uses.erase(it) : std::next(it);
  }
  std::erase_if(m_asked, [now](const auto& item) {
    return item.second.empty() || now - item.second.back().first > kAskLifetime;
  });
  if (now - m_swept < kSweepInterval) return;
  m_swept = now;
  Sweep(now);
}

void Dispatcher::Sweep(TimeMs now) {
  m_popularity.Expire(now);
  m_loads.Expire(now);
  std::erase_if(m_demand, [this, now](const auto& item) {
    return !m_asked.contains(item.first) &&
           now - item.second.on_time_until > kAskLifetime;
  });
  std::erase_if(m_load_told, [this, now](const auto& item) {
    if (now - item.second < kToldLoadLifetime) return false;
    Endpoint* endpoint = m_context.view.endpoints().Find(item.first);
    if (endpoint) endpoint->peers_in_flight = 0;
    return true;
  });
  std::erase_if(m_homes, [this](const auto& item) {
    return !m_context.view.endpoints().Find(item.second);
  });
}

}  // namespace yuccamoor::fleet
