#include "yuccamoor/transport/fleet/exchange.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "yuccamoor/state/stable_hash.h"

namespace yuccamoor::fleet {

namespace {

// How often a waiting request looks for an endpoint.
constexpr DurationMs kChooseAgain{40};
// How long a new connection may take.
constexpr DurationMs kConnectTime{300};
// Streams are read this often: several events a wake-up, within the delay of
// 120 ms that an event may have.
constexpr DurationMs kStreamPoll{60};
// After an engine said that an adapter is missing.
constexpr DurationMs kMissingPause{30};
constexpr DurationMs kBusyPause{25};
// A safe request is sent elsewhere after this many objectives without answer.
constexpr std::int64_t kSilentObjectives = 2;
constexpr DurationMs kShortestSilence{250};
// Less time than this is no offer to an endpoint.
constexpr DurationMs kShortestOffer{15};
constexpr std::uint32_t kMaxSends = 8;
constexpr std::size_t kMaxPendingToClient = 262'144;
constexpr DurationMs kNoEndpointRetryAfter{300};
constexpr DurationMs kOverloadRetryAfter{200};
// Holders tell several times a second that they give orders.
constexpr DurationMs kNobodyLoadsTime{500};
constexpr DurationMs kNobodyRetryAfter{1'500};
// From an adapter's arrival to its first event.
constexpr DurationMs kFirstEventTime{250};
// Clients honour a Retry-After of up to this part of their time left.
constexpr std::int64_t kRetryAfterPart = 3;
constexpr DurationMs kDefaultDeadline{30'000};
// The priority that requests without one have is 5.
constexpr int kPriorityBase = 3;
constexpr int kLowestPriority = 9;

std::string ChunkOf(std::string_view data) {
  char size[20];
  const auto written =
      std::to_chars(size, size + sizeof(size), data.size(), 16);
  std::string chunk(size, written.ptr);
  chunk.append("\r\n").append(data).append("\r\n");
  return chunk;
}

constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace

Exchange::Exchange(ExchangeContext& context,
                   std::shared_ptr<FrontConnection> client,
                   FrontRequest request,
                   std::shared_ptr<const RouteTable> routes,
                   const RouteSpec& route)
    : m_context(context),
      m_client(std::move(client)),
      m_request(std::move(request)),
      m_routes(std::move(routes)),
      m_route(route),
      m_meta(context.node.dialect.DecodeRequest(m_request.head)) {
  const DurationMs wait = m_meta.deadline.value_or(kDefaultDeadline);
  m_deadline = m_request.received + std::min(wait, m_route.timeout);
  m_service =
      RouteTable::PickService(m_route, StableBucketHash(m_meta.attempt.str()));
  if (!m_context.node.view.EngineOf(m_service)) m_meta.adapter.reset();
}

Exchange::~Exchange() {
  if (m_call) EndCall(false, false);
}

void Exchange::Start() {
  m_context.dispatcher.EarnRetry(m_service);
  Dispatch(m_request.received);
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
  if (!m_meta.adapter) return query;
  query.version = m_context.node.view.NewestRevision(*m_meta.adapter);
  query.accept_older = m_context.node.view.MayBeOlder(*m_meta.adapter, now);
  return query;
}

void Exchange::Dispatch(TimeMs now) {
  if (m_ended || m_call || now < m_next_choice) return;
  if (m_deadline - now < kShortestOffer) {
    OnDeadline();
    return;
  }
  m_last_choice = now;
  EndpointChoice choice =
      m_context.dispatcher.Choose(MakeQuery(now), m_route.priority);
  if (!choice.any_usable && !m_excluded.empty()) {
    m_excluded.clear();
    choice = m_context.dispatcher.Choose(MakeQuery(now), m_route.priority);
  }
  if (!choice.any_usable) {
    GiveUp("no usable endpoint", kNoEndpointRetryAfter);
    return;
  }
  if (choice.send_to) {
    if (!HoldsBack(*choice.send_to, now)) SendTo(*choice.send_to, now);
    return;
  }
  Wait(now);
}

// Whether the prompt should wait for others at its engine: while there is time
// to, so that it does not make the streams there late.
bool Exchange::HoldsBack(const EndpointId& endpoint, TimeMs now) const {
  if (!m_meta.adapter || m_stream_started) return false;
  const DurationMs longest = m_route.objective - kFirstEventTime;
  if (Held(now) >= longest) return false;
  return !m_context.dispatcher.AllowsPrompt(endpoint, m_meta.prompt_tokens);
}

// Waits for an adapter while the answer can still come before the client
// leaves; otherwise the client comes back when the adapter is in place.
void Exchange::Wait(TimeMs now) {
  if (!m_waiting_since) {
    m_waiting_since = now;
    m_context.dispatcher.AddDemand(*m_meta.adapter);
  }
  if (m_stream_started || m_runs > 0) return;
  const auto expected = m_context.dispatcher.ExpectedAt(*m_meta.adapter);
  if (!expected) {
    const bool nobody_loads = now - *m_waiting_since >= kNobodyLoadsTime &&
                              !m_context.dispatcher.AnyOrdering(m_service);
    if (nobody_loads) Refuse("no holder gives orders", kNobodyRetryAfter);
    return;
  }
  const TimeMs latest =
      std::min(m_deadline, m_request.received + m_route.patience) -
      kFirstEventTime;
  if (*expected <= latest) return;
  m_context.node.log.Event("adapter_too_late")
      .Text("request", m_meta.attempt.str())
      .Text("adapter", ToString(*m_meta.adapter))
      .Ms("expected_in_ms", *expected - now)
      .Ms("latest_in_ms", latest - now);
  const DurationMs longest = (m_deadline - now) / kRetryAfterPart;
  Refuse("adapter comes too late", std::min(*expected - now, longest));
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

void Exchange::SendTo(const EndpointId& endpoint, TimeMs now) {
  const Endpoint* target = m_context.node.view.endpoints().Find(endpoint);
  if (!target) return;
  StopWaiting(now);
  Forwarding forwarding;
  forwarding.endpoint = endpoint;
  forwarding.deadline = m_deadline - now;
  if (m_meta.adapter) {
    forwarding.priority =
        std::min(kLowestPriority, kPriorityBase + m_route.priority);
    const auto held = target->adapters.find(*m_meta.adapter);
    const AdapterRevision newest =
        m_context.node.view.NewestRevision(*m_meta.adapter);
    const bool in_place =
        held != target->adapters.end() && held->second >= newest;
    if (in_place) forwarding.version = newest;
  }
  forwarding.last_event_id =
      m_cutter.last_id().empty() ? m_meta.last_event_id : m_cutter.last_id();
  m_endpoint = endpoint;
  m_endpoint_domain = target->entry.domain;
  m_sent = now;
  ++m_sends;
  m_context.node.log.Event("request_sent")
      .Text("request", m_meta.attempt.str())
      .Text("route", m_route.name)
      .Text("endpoint", endpoint.str())
      .Number("load", target->load())
      .Number("prompt_tokens", m_meta.prompt_tokens)
      .Ms("held_ms", Held(now))
      .Ms("adapters_age_ms", now - target->adapters_told)
      .Number("config", m_routes->config().version.value());
  m_context.dispatcher.OnBegin(endpoint, m_meta.adapter);
  if (m_meta.adapter) {
    m_context.dispatcher.OnPrompt(endpoint, m_meta.prompt_tokens);
  }
  m_call = std::make_unique<EndpointCall>(
      m_context.node.io, m_context.idle, m_context.node.dialect,
      target->entry.address, m_meta.attempt);
  m_call->Start(m_context.node.dialect.EncodeRequest(
                    m_request.head, m_request.body, forwarding),
                m_request.head.method == "HEAD", now, [this] { OnProgress(); });
}

void Exchange::OnProgress() {
  if (m_ended || !m_call) return;
  switch (m_call->state()) {
    case CallState::kConnecting:
    case CallState::kSent:
      return;
    case CallState::kAnswering:
      OnAnswering();
      return;
    case CallState::kComplete:
      OnComplete();
      return;
    case CallState::kNotSent:
      OnNotSent();
      return;
    case CallState::kBroken:
      OnBroken();
      return;
  }
}

void Exchange::OnAnswering() {
  const bool success = m_call->head().status / 100 == 2;
  if (m_route.kind != RequestKind::kStream || !success) return;
  PassEvents();
}

void Exchange::OnComplete() {
  const ResponseMeta& meta = m_call->meta();
  if (meta.not_run) {
    OnNotRun();
    return;
  }
  ++m_runs;
  const int status = m_call->head().status;
  const bool success = status / 100 == 2;
  if (m_route.kind == RequestKind::kStream && success) {
    FinishStream();
    return;
  }
  const bool server_error = status >= 500;
  if (m_stream_started) {
    OnBroken();
    return;
  }
  if (server_error && IsIdempotent() && MayRepeat()) {
    EndCall(false, true);
    m_excluded.push_back(m_endpoint);
    if (Retry("endpoint error")) return;
    GiveUp("endpoint error and no retry is left", std::nullopt);
    return;
  }
  PassWhole();
}

void Exchange::OnNotRun() {
  const ResponseMeta meta = m_call->meta();
  const int status = m_call->head().status;
  m_context.node.log.Event("request_not_run_by_endpoint")
      .Text("request", m_meta.attempt.str())
      .Text("endpoint", m_endpoint.str())
      .Number("status", status)
      .Text("instance", meta.endpoint.str())
      .Ms("held_ms", Held(m_context.node.clock.Now()));
  const TimeMs now = m_context.node.clock.Now();
  const bool other_instance =
      !meta.endpoint.empty() && meta.endpoint != m_endpoint;
  EndCall(true, false);
  if (other_instance) {
    m_context.node.view.endpoints().MarkLeaving(m_endpoint);
    m_excluded.push_back(m_endpoint);
  } else if (m_meta.adapter && !m_meta.adapter->name.empty() &&
             (status == 421 || status == 503)) {
    m_context.dispatcher.OnMissing(m_endpoint, *m_meta.adapter);
    m_next_choice = now + kMissingPause;
  } else {
    m_excluded.push_back(m_endpoint);
    m_next_choice = now + kBusyPause;
  }
  if (meta.closing && status == 503 && !other_instance) {
    m_excluded.push_back(m_endpoint);
  }
  if (Retry("not run by endpoint")) return;
  GiveUp("endpoint refused and no retry is left", kOverloadRetryAfter);
}

void Exchange::OnNotSent() {
  const TimeMs now = m_context.node.clock.Now();
  m_context.node.view.endpoints().OnConnectFailed(m_endpoint, now);
  m_context.node.log.Event("connect_failed")
      .Text("request", m_meta.attempt.str())
      .Text("endpoint", m_endpoint.str())
      .Ms("after_ms", now - m_sent);
  EndCall(false, true);
  m_excluded.push_back(m_endpoint);
  if (m_sends >= kMaxSends) {
    GiveUp("no endpoint reachable", kOverloadRetryAfter);
    return;
  }
  // No byte was sent: this repeats nothing.
  Dispatch(now);
}

void Exchange::OnBroken() {
  ++m_runs;
  const TimeMs now = m_context.node.clock.Now();
  m_context.node.log.Event("call_broken")
      .Text("request", m_meta.attempt.str())
      .Text("endpoint", m_endpoint.str())
      .Number("reused", m_call->reused() ? 1 : 0)
      .Number("events", m_cutter.events())
      .Ms("after_ms", now - m_sent);
  if (m_stream_started) PassEvents();
  if (m_ended) return;
  m_cutter.DropPartial();
  EndCall(false, true);
  m_excluded.push_back(m_endpoint);
  if (IsIdempotent() && MayRepeat() && Retry("broken call")) {
    if (m_stream_started) m_context.node.metrics.streams_resumed.Add();
    return;
  }
  GiveUp("call broken", std::nullopt);
}

bool Exchange::MayRepeat() const {
  return m_runs < m_route.max_attempts && m_sends < kMaxSends;
}

bool Exchange::Retry(const char* reason) {
  const TimeMs now = m_context.node.clock.Now();
  const bool time_left = m_deadline - now > kShortestOffer;
  if (!time_left || m_sends >= kMaxSends) return false;
  if (!m_context.dispatcher.TakeRetry(m_service)) return false;
  m_context.node.log.Event("request_retry")
      .Text("request", m_meta.attempt.str())
      .Text("reason", reason)
      .Number("runs", m_runs)
      .Number("sends", m_sends);
  Dispatch(now);
  return true;
}

void Exchange::EndCall(bool healthy, bool counts) {
  if (!m_call) return;
  const TimeMs now = m_context.node.clock.Now();
  Endpoint* endpoint = m_context.node.view.endpoints().Find(m_endpoint);
  if (endpoint && counts) {
    endpoint->breaker.OnEnd(healthy, now);
  } else if (endpoint) {
    endpoint->breaker.OnCancel();
  }
  if (endpoint && m_call->state() != CallState::kNotSent &&
      m_call->state() != CallState::kConnecting) {
    m_context.node.view.endpoints().OnConnected(m_endpoint);
  }
  m_context.dispatcher.OnEnd(m_endpoint, m_meta.adapter);
  if (m_call->state() == CallState::kComplete) {
    m_call->Recycle(now);
  } else {
    m_call->Abort();
  }
  m_call.reset();
}

std::string Exchange::CloseField() const {
  return Closes() ? "Connection: close\r\n" : "";
}

bool Exchange::Closes() const {
  const auto connection = m_request.head.Find("connection");
  return m_context.closing || SameHeaderName(connection, "close");
}

void Exchange::NoteFirstAnswer() {
  if (m_answered_first) return;
  m_answered_first = true;
  m_first_answer = Held(m_context.node.clock.Now());
  constexpr double kMsPerSecond = 1'000;
  m_context.node.metrics.first_answer_seconds.Observe(
      static_cast<double>(m_first_answer.ms()) / kMsPerSecond);
}

void Exchange::PassWhole() {
  NoteFirstAnswer();
  const bool healthy = m_call->head().status < 500;
  const std::string body = std::move(m_call->body());
  std::string out = m_context.node.dialect.EncodeResponseHead(m_call->head());
  out += CloseField();
  AppendField(out, "Content-Length", std::to_string(body.size()));
  out.append("\r\n").append(body);
  EndCall(healthy, true);
  if (!m_client_gone) m_client->Send(out);
  End(Outcome::kAnswered, healthy ? "ok" : "endpoint error passed on");
}

void Exchange::StartStream() {
  NoteFirstAnswer();
  m_stream_started = true;
  std::string out = m_context.node.dialect.EncodeResponseHead(m_call->head());
  out += CloseField();
  out += "Transfer-Encoding: chunked\r\n\r\n";
  m_client->Send(out);
  if (m_ended) return;
  m_call->Detach();
  m_last_poll = m_context.node.clock.Now();
}

void Exchange::PassEvents() {
  m_cutter.Feed(m_call->body());
  m_call->body().clear();
  const std::uint64_t before = m_cutter.events();
  const std::string events = m_cutter.TakeWhole();
  if (events.empty()) return;
  m_context.node.metrics.stream_events.Add(m_cutter.events() - before);
  if (!m_stream_started) StartStream();
  if (m_ended) return;
  NotePause();
  m_client->Send(ChunkOf(events));
}

void Exchange::NotePause() {
  const TimeMs now = m_context.node.clock.Now();
  if (m_last_events)
    m_longest_pause = std::max(m_longest_pause, now - *m_last_events);
  m_last_events = now;
}

void Exchange::FinishStream() {
  PassEvents();
  if (m_ended) return;
  if (!m_cutter.AtBoundary()) {
    OnBroken();
    return;
  }
  if (!m_stream_started) StartStream();
  if (m_ended) return;
  m_client->Send(kLastChunk);
  if (m_ended) return;
  EndCall(true, true);
  End(Outcome::kAnswered, "stream complete");
}

void Exchange::Refuse(const char* reason,
                      std::optional<DurationMs> retry_after) {
  OwnReply reply;
  reply.status = 503;
  reply.attempt = m_meta.attempt;
  reply.retry_after = retry_after;
  reply.close = Closes();
  if (!m_client_gone) {
    m_client->Send(m_context.node.dialect.EncodeOwnReply(reply));
  }
  End(Outcome::kRefused, reason);
}

void Exchange::Fail(int status, const char* reason) {
  OwnReply reply;
  reply.status = status;
  reply.attempt = m_meta.attempt;
  reply.close = Closes();
  if (!m_client_gone) {
    m_client->Send(m_context.node.dialect.EncodeOwnReply(reply));
  }
  End(Outcome::kFailed, reason);
}

void Exchange::GiveUp(const char* reason,
                      std::optional<DurationMs> retry_after) {
  if (m_stream_started) {
    CutStream(reason);
  } else if (m_runs > 0) {
    Fail(502, reason);
  } else {
    Refuse(reason, retry_after);
  }
}

void Exchange::CutStream(const char* reason) { End(Outcome::kFailed, reason); }

void Exchange::OnDeadline() {
  const bool may_have_run =
      m_runs > 0 || (m_call && m_call->state() != CallState::kConnecting);
  if (m_call) EndCall(false, true);
  if (m_stream_started) {
    CutStream("deadline within a stream");
  } else if (may_have_run) {
    Fail(504, "deadline");
  } else {
    Refuse("deadline before an endpoint was found", std::nullopt);
  }
}

void Exchange::OnTick(TimeMs now) {
  if (m_ended) return;
  if (now >= m_deadline) {
    OnDeadline();
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
  if (m_call->state() == CallState::kSent) {
    OnSilent(now);
    return;
  }
  if (!m_stream_started || now - m_last_poll < kStreamPoll) return;
  if (m_client->pending_bytes() > kMaxPendingToClient) return;
  m_last_poll = now;
  m_call->Poll();
  OnProgress();
}

void Exchange::OnSilent(TimeMs now) {
  if (m_route.kind != RequestKind::kSafe) return;
  const DurationMs patience =
      std::max(kShortestSilence, m_route.objective * kSilentObjectives);
  if (now - m_sent < patience) return;
  if (m_runs + 1 >= m_route.max_attempts) return;
  OnBroken();
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

void Exchange::End(Outcome outcome, const char* reason) {
  if (m_ended) return;
  m_ended = true;
  StopWaiting(m_context.node.clock.Now());
  NodeMetrics& metrics = m_context.node.metrics;
  const char* word = "answered";
  switch (outcome) {
    case Outcome::kAnswered:
      metrics.answered.Add();
      break;
    case Outcome::kRefused:
      metrics.refused.Add();
      word = "refused";
      break;
    case Outcome::kFailed:
      metrics.failed.Add();
      word = "failed";
      break;
    case Outcome::kGone:
      metrics.client_gone.Add();
      word = "client_gone";
      break;
  }
  const TimeMs now = m_context.node.clock.Now();
  m_context.node.log.Event("request_end")
      .Text("request", m_meta.attempt.str())
      .Text("route", m_route.name)
      .Text("adapter", m_meta.adapter ? ToString(*m_meta.adapter) : "none")
      .Text("outcome", word)
      .Text("reason", reason)
      .Text("endpoint", m_endpoint.str())
      .Number("runs", m_runs)
      .Number("sends", m_sends)
      .Number("events", m_cutter.events())
      .Ms("waited_ms", m_waited)
      .Ms("first_ms", m_first_answer)
      .Ms("longest_pause_ms", m_longest_pause)
      .Ms("held_ms", Held(now));
  if (m_client_gone) return;
  const bool cut = outcome == Outcome::kFailed && m_stream_started;
  if (cut) {
    m_client->Abort();
  } else {
    m_client->Finish(Closes());
  }
}

}  // namespace yuccamoor::fleet
