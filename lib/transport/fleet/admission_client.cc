#include "yuccamoor/transport/fleet/admission_client.h"

#include <algorithm>
#include <utility>

#include "yuccamoor/state/stable_hash.h"

namespace yuccamoor::fleet {

AdmissionClient::AdmissionClient(NodeContext& context, Dispatcher& dispatcher,
                                 SendToPeer send)
    : m_context(context),
      m_dispatcher(dispatcher),
      m_send(std::move(send)),
      // Numbers of an earlier process on this VM must not be taken for this
      // one's.
      m_next_number(StableBucketHash(context.settings.node.str()) ^
                    static_cast<std::uint64_t>(context.clock.Now().ms())
                        << 32) {}

std::unique_ptr<AdmissionTicket> AdmissionClient::Open(AdmissionNeeds needs,
                                                       OnStep on_step) {
  const std::uint64_t number = m_next_number++;
  m_dispatcher.OnEngineRequest();
  const bool any_engine =
      !needs.query.adapter || needs.query.adapter->name.empty();
  m_searches.emplace(
      number, Search{std::move(needs),
                     AdmissionRequest(StableBucketHash(std::to_string(number)),
                                      any_engine),
                     std::move(on_step)});
  return std::make_unique<AdmissionTicket>(*this, number);
}

AdmissionStep AdmissionClient::Poll(std::uint64_t number,
                                    AdmissionNeeds needs) {
  Search& search = m_searches.at(number);
  search.needs = std::move(needs);
  AdmissionStep step =
      search.request.Poll([this, &search] { return Rank(search.needs.query); },
                          m_context.clock.Now());
  SendAsks(number, search.needs, step.asks);
  DropUselessOffer(*search.needs.query.adapter, step);
  return step;
}

bool AdmissionClient::IsUsable(const EndpointId& engine) const {
  const Endpoint* known = m_context.view.endpoints().Find(engine);
  return known && EndpointTable::Usable(*known, m_context.clock.Now());
}

// An admission may come when the engine is leaving, or when the version that it
// holds serves no more. The next call of Poll begins the search anew.
void AdmissionClient::DropUselessOffer(const AdapterRef& adapter,
                                       AdmissionStep& step) const {
  if (!step.send_to) return;
  const Endpoint* engine = m_context.view.endpoints().Find(*step.send_to);
  const bool serves =
      engine && IsUsable(*step.send_to) &&
      m_context.view.ServesRequests(*engine, adapter, m_context.clock.Now());
  if (!serves) step.send_to.reset();
}

// The answering node may not know yet that an engine is leaving.
AdmissionAnswer AdmissionClient::WithoutUnusable(AdmissionAnswer answer) const {
  std::erase_if(answer.choices,
                [this](const EndpointId& engine) { return !IsUsable(engine); });
  if (!IsUsable(answer.quote.engine)) answer.quote.adapter_wait.reset();
  return answer;
}

// Engines without a holder cannot answer.
std::vector<EndpointId> AdmissionClient::Rank(
    const EndpointQuery& query) const {
  std::vector<EndpointId> engines = RankByRendezvous(
      m_context.view.endpoints(), query, m_context.clock.Now());
  const auto& holders = m_context.view.holders();
  std::erase_if(engines, [&holders](const EndpointId& engine) {
    return !holders.contains(engine);
  });
  return engines;
}

void AdmissionClient::SendAsks(std::uint64_t number,
                               const AdmissionNeeds& needs,
                               const std::vector<AdmissionAsk>& asks) {
  const TimeMs now = m_context.clock.Now();
  for (const AdmissionAsk& wanted : asks) {
    const auto holder = m_context.view.holders().find(wanted.engine);
    if (holder == m_context.view.holders().end()) continue;
    AskAdmission ask;
    ask.id = {m_context.settings.node, number};
    ask.engine = wanted.engine;
    ask.adapter = *needs.query.adapter;
    ask.version = needs.query.version;
    ask.least_version = needs.query.least_version;
    ask.prompt_tokens = needs.prompt_tokens;
    ask.priority = needs.priority;
    ask.tenant = needs.tenant;
    ask.send_within = needs.send_by - now;
    const WaitingDemand demand = m_dispatcher.DemandFor(ask.adapter);
    ask.demand = std::max<std::uint32_t>(demand.requests, 1);
    ask.ready_within = std::max(demand.on_time_until, needs.send_by) - now;
    ask.as_home = wanted.as_home;
    ask.enqueue = wanted.enqueue;
    m_send(holder->second.node, ask);
  }
}

// Remembers what the answer says of the engine, for requests that get no
// answer. What this node knows of engines that it holds itself is newer.
void AdmissionClient::NoteQuote(const EngineQuote& quote,
                                const std::optional<AdapterRef>& adapter) {
  m_dispatcher.OnEngineQuote(quote);
  Endpoint* engine = m_context.view.endpoints().Find(quote.engine);
  if (!engine) return;
  const bool named = adapter && !adapter->name.empty();
  if (named && quote.version) {
    engine->adapters[*adapter] = *quote.version;
    engine->adapters_reported_at = m_context.clock.Now();
  } else if (named && quote.adapter_wait != DurationMs(0)) {
    engine->adapters.erase(*adapter);
  }
  const auto holder = m_context.view.holders().find(quote.engine);
  const bool own = holder != m_context.view.holders().end() &&
                   holder->second.node == m_context.settings.node;
  if (own) return;
  engine->peers_in_flight = quote.requests > engine->in_flight
                                ? quote.requests - engine->in_flight
                                : 0;
}

void AdmissionClient::OnTellAdmission(const TellAdmission& told) {
  const auto it = m_searches.find(told.number);
  if (it == m_searches.end()) return;
  Search& search = it->second;
  NoteQuote(told.answer.quote, search.needs.query.adapter);
  AdmissionStep step = search.request.OnAnswer(WithoutUnusable(told.answer),
                                               m_context.clock.Now());
  SendAsks(told.number, search.needs, step.asks);
  DropUselessOffer(*search.needs.query.adapter, step);
  // The callback may close the search.
  const OnStep on_step = search.on_step;
  if (step.send_to || step.unanswered || search.request.expected()) {
    on_step(step);
  }
}

void AdmissionClient::OnLoaded(const TellLoaded& told) {
  for (auto& [number, search] : m_searches) {
    if (search.needs.query.adapter == told.adapter) {
      search.request.OnLoaded(told.engine);
    }
  }
}

void AdmissionTicket::OnSent(const EndpointId& engine) {
  NodeContext& context = m_client.m_context;
  const auto holder = context.view.holders().find(engine);
  if (holder == context.view.holders().end()) return;
  const AdmissionNeeds& needs = m_client.m_searches.at(m_number).needs;
  m_client.m_send(
      holder->second.node,
      TellSent{{context.settings.node, m_number}, engine, needs.prompt_tokens});
}

}  // namespace yuccamoor::fleet
