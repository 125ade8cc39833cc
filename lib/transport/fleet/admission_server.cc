#include "yuccamoor/transport/fleet/admission_server.h"

#include <algorithm>
#include <string>
#include <utility>

#include "yuccamoor/coordination/fleet/endpoint_choice.h"
#include "yuccamoor/state/stable_hash.h"

namespace yuccamoor::fleet {

namespace {

constexpr DurationMs kSweepInterval{1'000};
// A request that would wait longer for an engine to take it is sent elsewhere.
constexpr DurationMs kLongestTimeToOpen{400};

// An engine that takes no request now is as one that prefills until it does.
PrefillLoad LoadOf(const Endpoint& engine, TimeMs now) {
  PrefillLoad load = PrefillLoadOf(engine, now);
  load.backlog = std::max(load.backlog, engine.intake.TimeToOpen(now));
  return load;
}

PendingPrompt PromptOf(const AskAdmission& ask, TimeMs now) {
  return {ask.id, ask.prompt_tokens, ask.priority, now + ask.send_within,
          ask.tenant};
}

AskLoad LoadAskOf(const AskAdmission& ask) {
  AskLoad load;
  load.node = ask.id.node;
  load.engine = ask.engine;
  load.adapter = ask.adapter;
  load.version = ask.version;
  load.priority = ask.priority;
  load.demand = ask.demand;
  load.on_time = ask.ready_within;
  return load;
}

}  // namespace

AdmissionServer::AdmissionServer(NodeContext& context, EngineHolder& holder,
                                 const Dispatcher& dispatcher, SendToPeer send)
    : m_context(context),
      m_holder(holder),
      m_dispatcher(dispatcher),
      m_send(std::move(send)) {}

void AdmissionServer::OnAsk(const AskAdmission& ask) {
  const TimeMs now = m_context.clock.Now();
  TellAdmission told;
  told.number = ask.id.number;
  told.answer.quote.engine = ask.engine;
  const Endpoint* engine = m_context.view.endpoints().Find(ask.engine);
  // An answer without an offer sends the request on to another engine at once.
  const bool serves = engine && m_holder.Holds(ask.engine) &&
                      EndpointTable::Usable(*engine, now) &&
                      engine->intake.TimeToOpen(now) <= kLongestTimeToOpen;
  if (serves) {
    told.answer = Answer(ask, *engine, now);
  }
  LogAnswer(ask, told.answer);
  m_send(ask.id.node, told);
}

void AdmissionServer::LogAnswer(const AskAdmission& ask,
                                const AdmissionAnswer& answer) const {
  auto line = m_context.log.Event("admission_answer");
  line.Text("node", ask.id.node.str())
      .Number("number", ask.id.number)
      .Text("engine", ask.engine.str())
      .Text("adapter", ToString(ask.adapter))
      .Ms("adapter_wait_ms", answer.quote.adapter_wait.value_or(DurationMs(-1)))
      .Ms("prompt_wait_ms", answer.quote.prompt_wait)
      .Number("load", answer.quote.requests)
      .Number("choices", answer.choices.size());
  if (!ask.tenant.empty()) {
    line.Text("tenant", ask.tenant.str()).Number("priority", ask.priority);
  }
}

AdmissionAnswer AdmissionServer::Answer(const AskAdmission& ask,
                                        const Endpoint& engine, TimeMs now) {
  AdmissionAnswer answer;
  EngineQuote& quote = answer.quote;
  quote.engine = ask.engine;
  quote.requests = engine.load();
  quote.loading = m_holder.LoadsInFlight(ask.engine);
  const auto version = m_holder.ResidentVersion(ask.engine, ask.adapter);
  const bool holds = version && *version >= LeastVersionFor(ask, engine, now);
  const bool named = !ask.adapter.name.empty();
  if (ask.as_home && named) {
    CopyChoice copies = ChooseCopies(ask, engine, holds, now);
    AskForCopies(ask, copies.to_load);
    answer.choices = std::move(copies.choices);
  }
  const auto& choices = answer.choices;
  const bool chosen =
      choices.empty() ||
      std::find(choices.begin(), choices.end(), ask.engine) != choices.end();
  if (!chosen || (!holds && !named)) return answer;
  if (!holds) {
    const auto queued = m_holder.OnAskLoad(LoadAskOf(ask));
    if (queued && m_holder.MayLoad(ask.engine)) {
      quote.adapter_wait = std::max(queued->wait, DurationMs(1));
    }
    return answer;
  }
  quote.version = version;
  quote.adapter_wait = DurationMs(0);
  // It must not be unloaded before the request has come.
  m_holder.OnUsed(ask.engine, ask.adapter, 0);
  PromptQueue& queue = m_queues[ask.engine];
  const PrefillLoad load = LoadOf(engine, now);
  const PendingPrompt prompt = PromptOf(ask, now);
  quote.prompt_wait = ask.enqueue ? queue.Enqueue(prompt, load, now)
                                  : queue.Quote(prompt, load, now);
  return answer;
}

AdapterRevision AdmissionServer::LeastVersionFor(const AskAdmission& ask,
                                                 const Endpoint& engine,
                                                 TimeMs now) const {
  // A request that waits for an older version could start when that one is no
  // longer accepted.
  const bool has_free_slot = engine.load() < engine.entry.slots;
  // Either node may know of a version that the other has not learned of yet.
  const FleetView& view = m_context.view;
  return has_free_slot
             ? std::max(ask.least_version, view.LeastRevision(ask.adapter, now))
             : std::max(ask.version, view.NewestRevision(ask.adapter));
}

std::vector<EndpointId> AdmissionServer::Rank(const AskAdmission& ask) const {
  EndpointQuery query;
  const Endpoint* engine = m_context.view.endpoints().Find(ask.engine);
  if (!engine) return {};
  query.service = engine->entry.service;
  query.adapter = ask.adapter;
  return RankByRendezvous(m_context.view.endpoints(), query,
                          m_context.clock.Now());
}

CopyChoice AdmissionServer::ChooseCopies(const AskAdmission& ask,
                                         const Endpoint& engine, bool holds,
                                         TimeMs now) {
  HomeRequest request;
  request.adapter = ask.adapter;
  request.number =
      StableBucketHash(ask.id.node.str() + "#" + std::to_string(ask.id.number));
  request.home = ask.engine;
  request.home_holds = holds;
  request.home_held_lately = m_holder.HeldLately(ask.engine, ask.adapter);
  request.engines = m_dispatcher.CountEngines(engine.entry.service, now);
  request.fleet_rate = m_dispatcher.FleetRate();
  request.home_requests = engine.load();
  request.mean_requests = m_dispatcher.MeanEngineRequests();
  return m_directory.OnRequest(
      request, [&] { return Rank(ask); }, now);
}

void AdmissionServer::AskForCopies(const AskAdmission& ask,
                                   const std::vector<EndpointId>& engines) {
  for (const EndpointId& engine : engines) {
    const auto holder = m_context.view.holders().find(engine);
    if (holder == m_context.view.holders().end()) continue;
    AskLoad load = LoadAskOf(ask);
    load.node = m_context.settings.node;
    load.engine = engine;
    // No request waits for a copy.
    load.demand = 0;
    m_send(holder->second.node, load);
  }
}

void AdmissionServer::OnSent(const TellSent& told) {
  Endpoint* engine = m_context.view.endpoints().Find(told.engine);
  if (!engine) return;
  RecordPrompt(*engine, told.prompt_tokens, m_context.clock.Now());
  const auto queue = m_queues.find(told.engine);
  if (queue != m_queues.end()) queue->second.OnSent(told.id);
}

void AdmissionServer::OnLoaded(const TellLoaded& told) {
  m_directory.OnLoaded(told.adapter, told.engine, m_context.clock.Now());
}

void AdmissionServer::OnTick(TimeMs now) {
  for (auto& [id, queue] : m_queues) {
    const Endpoint* engine = m_context.view.endpoints().Find(id);
    if (!engine || queue.empty()) continue;
    for (const AdmissionId& admitted : queue.Admit(LoadOf(*engine, now), now)) {
      TellAdmission told;
      told.number = admitted.number;
      told.answer.quote.engine = id;
      told.answer.quote.adapter_wait = DurationMs(0);
      told.answer.quote.requests = engine->load();
      told.answer.quote.loading = m_holder.LoadsInFlight(id);
      m_send(admitted.node, told);
    }
  }
  if (now - m_swept < kSweepInterval) return;
  m_swept = now;
  m_directory.Expire(now);
  std::erase_if(m_queues, [this](const auto& item) {
    return !m_holder.Holds(item.first);
  });
}

}  // namespace yuccamoor::fleet
