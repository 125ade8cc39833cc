#include "yuccamoor/transport/fleet/exchange.h"

#include <algorithm>
#include <utility>

#include "yuccamoor/coordination/fleet/caller_identity.h"
#include "yuccamoor/coordination/fleet/prefill_pacing.h"
#include "yuccamoor/coordination/fleet/stream_reading.h"
#include "yuccamoor/state/stable_hash.h"

namespace yuccamoor::fleet {

namespace {

// How often a waiting request looks for an endpoint.
constexpr DurationMs kChooseAgain{40};
// How long a new connection may take.
constexpr DurationMs kConnectTime{300};
constexpr std::size_t kMaxPendingToClient = 262'144;
// Most of the prompts that an engine was sent have been prefilled by then.
constexpr DurationMs kBusyEngineRetryAfter{400};
// Clients honour a Retry-After of up to this part of their time left.
constexpr std::int64_t kRetryAfterPart = 3;
constexpr DurationMs kDefaultDeadline{30'000};
// The priority that requests without one have is 5.
constexpr int kPriorityBase = 3;
constexpr int kLowestPriority = 9;

}  // namespace

Exchange::Exchange(ExchangeContext& context,
                   std::shared_ptr<FrontConnection> client,
                   FrontRequest request,
                   std::shared_ptr<const RouteTable> routes,
                   const RouteSpec& route, const TenantSpec* tenant)
    : m_context(context),
      m_client(std::move(client)),
      m_request(std::move(request)),
      m_routes(std::move(routes)),
      m_route(route),
      m_meta(context.node.dialect.DecodeRequest(m_request.head)),
      m_tenant(tenant ? tenant->tenant : TenantId()),
      m_priority(tenant ? tenant->priority.value_or(route.priority)
                        : route.priority),
      m_quota(tenant ? tenant->quota : QuotaSpec()) {
  m_deadline = DeadlineOf(m_request, m_meta, m_route);
  m_service =
      RouteTable::PickService(m_route, StableBucketHash(m_meta.attempt.str()));
  if (m_context.node.view.EngineOf(m_service)) return;
  m_meta.adapter.reset();
  m_meta.shared_parts.clear();
}

TimeMs Exchange::DeadlineOf(const FrontRequest& request,
                            const RequestMeta& meta, const RouteSpec& route) {
  const DurationMs wait = meta.deadline.value_or(kDefaultDeadline);
  return request.received + std::min(wait, route.timeout);
}

Exchange::~Exchange() {
  if (m_call) EndCall(false, false);
  EndQuota();
}

void Exchange::Start() {
  m_context.retries.OnRequest(m_service, m_request.received);
  if (m_quota.is_limited()) {
    SeekQuota(m_request.received);
  } else {
    Dispatch(m_request.received);
  }
}

bool Exchange::ResumesStream() const {
  return m_route.kind == RequestKind::kStream && m_route.resumable;
}

bool Exchange::IsIdempotent() const {
  return m_route.kind == RequestKind::kSafe || ResumesStream();
}

EndpointQuery Exchange::MakeQuery(TimeMs now) const {
  EndpointQuery query;
  query.service = m_service;
  query.adapter = m_meta.adapter;
  query.domain = m_context.node.settings.domain;
  query.excluded = m_excluded;
  if (m_context.dispatcher.IsLarge()) {
    query.spread = StableBucketHash(m_meta.attempt.str());
  }
  if (!m_meta.adapter) return query;
  query.wait_until = LatestSend(now);
  query.version = m_context.node.view.NewestRevision(*m_meta.adapter);
  query.least_version = m_context.node.view.LeastRevision(*m_meta.adapter, now);
  return query;
}

void Exchange::Dispatch(TimeMs now) {
  if (m_ended || m_call || AwaitsPermit() || now < m_next_choice) return;
  if (m_deadline - now < kShortestOffer) {
    OnDeadline();
    return;
  }
  m_last_choice = now;
  if (EndIfQuarantined() || DispatchSuspect(now)) return;
  if (m_meta.adapter && m_context.dispatcher.IsLarge()) {
    SeekAdmission(now);
    return;
  }
  EndpointChoice choice =
      m_context.dispatcher.Choose(MakeQuery(now), m_priority);
  if (!choice.any_usable && !m_excluded.empty()) {
    m_excluded.clear();
    choice = m_context.dispatcher.Choose(MakeQuery(now), m_priority);
  }
  if (!choice.any_usable) {
    GiveUp("no usable endpoint", kNoEndpointRetryAfter);
    return;
  }
  if (choice.send_to) {
    if (HoldsBack(*choice.send_to, now)) {
      HoldBack(now);
    } else {
      SendTo(*choice.send_to, now);
    }
    return;
  }
  Wait(now);
}

bool Exchange::HoldsBack(const EndpointId& endpoint, TimeMs now) const {
  if (!m_meta.adapter || m_stream_started) return false;
  const DurationMs held = Held(now);
  PromptOffer prompt;
  prompt.tokens = m_meta.prompt_tokens;
  const bool late = held >= m_route.latency_objective;
  if (!late && held >= m_route.latency_objective - kFirstEventTime) {
    prompt.urgency = PromptUrgency::kNearDeadline;
  }
  constexpr std::uint64_t kSpreadSteps = 256;
  prompt.jitter = static_cast<double>(StableBucketHash(m_meta.attempt.str()) %
                                      kSpreadSteps) /
                  (kSpreadSteps - 1);
  return !m_context.dispatcher.AllowsPrompt(endpoint, prompt);
}

void Exchange::HoldBack(TimeMs now) {
  if (now < m_request.received + m_route.first_event_timeout - kFirstEventTime)
    return;
  // An earlier engine may have run it.
  GiveUp("prompts ahead take too long", kBusyEngineRetryAfter);
}

void Exchange::Wait(TimeMs now) {
  NoteWaiting(now);
  if (m_stream_started || m_runs > 0) return;
  const auto expected = m_context.dispatcher.ExpectedAt(*m_meta.adapter);
  if (!expected) {
    const bool nobody_loads = now - *m_waiting_since >= kNobodyLoadsTime &&
                              !m_context.dispatcher.AnyOrdering(m_service);
    if (nobody_loads) Refuse("no holder gives orders", kNobodyRetryAfter);
    return;
  }
  RefuseIfTooLate(*expected, "adapter comes too late", now);
}

void Exchange::NoteWaiting(TimeMs now) {
  if (m_waiting_since) return;
  m_waiting_since = now;
  m_context.dispatcher.AddDemand(
      *m_meta.adapter,
      m_request.received + m_route.latency_objective - kPrefillTime);
}

bool Exchange::RefuseIfTooLate(TimeMs expected, const char* reason,
                               TimeMs now) {
  const TimeMs latest =
      std::min(m_deadline, m_request.received + m_route.first_event_timeout) -
      kFirstEventTime;
  if (expected <= latest) return false;
  m_context.node.log.Event("request_too_late")
      .Text("request", m_meta.attempt.str())
      .Text("reason", reason)
      .Text("adapter", ToString(*m_meta.adapter))
      .Ms("expected_in_ms", expected - now)
      .Ms("latest_in_ms", latest - now);
  // An earlier return would find no room.
  Refuse(reason, expected - now);
  return true;
}

DurationMs Exchange::HonouredRetryAfter(DurationMs wait, TimeMs now) const {
  const DurationMs longest = (m_deadline - now) / kRetryAfterPart;
  return std::min(std::max(wait, DurationMs(0)), longest);
}

void Exchange::StopWaiting(TimeMs now) {
  if (!m_waiting_since) return;
  const DurationMs waited = now - *m_waiting_since;
  m_waited = m_waited + waited;
  constexpr double kMsPerSecond = 1'000;
  m_context.node.metrics.load_stall_seconds.Observe(
      static_cast<double>(waited.ms()) / kMsPerSecond);
  m_waiting_since.reset();
}

bool Exchange::EndIfKeyRemoved() {
  const auto& routes = m_context.node.view.routes();
  if (m_tenant.empty() || routes == m_routes) return false;
  const CallerIdentity caller =
      IdentifyCaller(*routes, m_route, m_meta.tenant_key, true);
  const bool is_same = caller.tenant && caller.tenant->tenant == m_tenant;
  // Without tenants, keys are not looked at any more.
  if (is_same || !routes->has_tenants()) return false;
  if (m_runs == 0 && !m_stream_started) {
    RefuseWith(kUnauthorized, "key removed", std::nullopt);
  } else {
    GiveUp("key removed", std::nullopt);
  }
  return true;
}

bool Exchange::MayReceive(const Endpoint& target, TimeMs now) const {
  return EndpointTable::Usable(target, now) &&
         target.intake.paused_until() <= now &&
         (!m_meta.adapter ||
          m_context.node.view.ServesRequests(target, *m_meta.adapter, now));
}

void Exchange::Send(const Endpoint& target, TimeMs now) {
  if (EndIfKeyRemoved() || EndIfQuarantined()) return;
  if (!MayReceive(target, now)) {
    m_context.node.log.Event("endpoint_lost_before_sending")
        .Text("request", m_meta.attempt.str())
        .Text("endpoint", target.entry.id.str())
        .Number("leaving", target.leaving ? 1 : 0)
        .Ms("paused_ms", target.intake.paused_until() - now)
        .Text("adapter", m_meta.adapter ? ToString(*m_meta.adapter) : "none");
    m_next_choice = now + kChooseAgain;
    return;
  }
  StopWaiting(now);
  Forwarding forwarding;
  forwarding.endpoint = target.entry.id;
  forwarding.deadline = m_deadline - now;
  forwarding.has_tenants = m_routes->has_tenants();
  forwarding.tenant = m_tenant;
  m_held_version = AdapterRevision();
  if (m_meta.adapter) {
    forwarding.priority = std::min(kLowestPriority, kPriorityBase + m_priority);
    m_held_version = HeldRevision(target, *m_meta.adapter);
    forwarding.version = VersionToExpect();
  }
  forwarding.last_event_id =
      m_cutter.last_id().empty() ? m_meta.last_event_id : m_cutter.last_id();
  m_endpoint = target.entry.id;
  m_endpoint_domain = target.entry.domain;
  m_endpoint_start_unix_ms = target.entry.start_unix_ms;
  m_intake_noted = false;
  m_has_output = false;
  m_sent = now;
  ++m_sends;
  LogSent(target, now);
  m_context.dispatcher.OnBegin(m_endpoint, m_meta.adapter);
  if (m_meta.adapter && m_ticket) {
    m_ticket->OnSent(m_endpoint);
  } else if (m_meta.adapter) {
    m_context.dispatcher.OnPrompt(m_endpoint, m_meta.prompt_tokens);
  }
  m_call = std::make_unique<EndpointCall>(m_context.node, m_context.idle,
                                          target.entry.address, m_meta.attempt);
  m_call->Start(m_context.node.dialect.EncodeRequest(
                    m_request.head, m_request.body, forwarding),
                m_request.head.method == "HEAD", now, [this] { OnProgress(); });
}

void Exchange::LogSent(const Endpoint& target, TimeMs now) const {
  auto line = m_context.node.log.Event("request_sent");
  line.Text("request", m_meta.attempt.str())
      .Text("route", m_route.name)
      .Text("endpoint", m_endpoint.str())
      .Number("load", target.load())
      .Number("prompt_tokens", m_meta.prompt_tokens)
      .Ms("held_ms", Held(now))
      .Ms("adapters_age_ms", now - target.adapters_reported_at)
      .Number("config", m_routes->config().version.value());
  if (!NamesAdapter()) return;
  const FleetView& view = m_context.node.view;
  const AdapterRevision newest = view.NewestRevision(*m_meta.adapter);
  if (newest.value() == 0) return;
  line.Text("adapter", ToString(*m_meta.adapter))
      .Number("held_version", m_held_version.value())
      .Number("newest_version", newest.value())
      .Ms("newest_known_ms", view.NewestRevisionAge(*m_meta.adapter, now));
}

bool Exchange::MayHaveRun() const {
  return m_runs > 0 || (m_call && m_call->state() != CallState::kConnecting);
}

void Exchange::OnDeadline() {
  const bool may_have_run = MayHaveRun();
  if (m_call) EndCall(false, true);
  if (m_stream_started) {
    CutStream("deadline within a stream");
  } else if (may_have_run) {
    Fail(504, "deadline");
  } else {
    Refuse("deadline before an endpoint was found", std::nullopt);
  }
}

void Exchange::OnShutdown() {
  if (m_ended) return;
  const bool may_have_run = MayHaveRun();
  if (m_call) EndCall(false, false);
  if (m_stream_started) {
    CutStream("shut down within a stream");
  } else if (may_have_run) {
    Fail(502, "shut down");
  } else {
    Refuse("shut down", kShutdownRetryAfter);
  }
}

void Exchange::OnTick(TimeMs now) {
  if (m_ended) return;
  if (now >= m_deadline) {
    OnDeadline();
    return;
  }
  if (m_quota_question || m_quota_from) {
    UseQuota(now);
    return;
  }
  if (AwaitsPermit()) {
    UsePermit(now);
    return;
  }
  if (!m_call) {
    const bool holding_back = m_meta.adapter && !m_waiting_since;
    if (now - m_last_choice >= kChooseAgain || holding_back ||
        now >= m_next_choice) {
      Dispatch(now);
    }
    return;
  }
  if (m_call->state() == CallState::kConnecting) {
    if (now - m_sent >= kConnectTime) OnNotSent();
    return;
  }
  if (TakeBackSuperseded(now)) return;
  if (m_call->state() == CallState::kSent) {
    OnSilent(now);
    return;
  }
  if (m_stream_started) ReadStream(now);
}

void Exchange::ReadStream(TimeMs now) {
  if (!m_call->detached()) return;
  if (m_client->pending_bytes() > kMaxPendingToClient) return;
  const StreamProgress stream{m_last_poll, m_last_events.value_or(m_last_poll),
                              m_route.max_event_gap};
  const StreamRead next = NextRead(stream, now);
  if (next == StreamRead::kWait) return;
  if (next == StreamRead::kReadOnArrival) {
    m_call->Attach();
    return;
  }
  m_last_poll = now;
  m_call->Poll();
  OnProgress();
}

void Exchange::OnClientGone() {
  if (m_ended) return;
  m_client_gone = true;
  // What may run once only is left to its end: the client has left the
  // answer, not the effect.
  if (m_route.kind == RequestKind::kUnsafe && m_call) return;
  if (m_call) EndCall(false, false);
  End(Outcome::kGone, "client left");
}

}  // namespace yuccamoor::fleet
