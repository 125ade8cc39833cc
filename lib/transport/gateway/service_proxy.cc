/// \file
/// \brief Implementation of the proxy to plain services.

#include "yuccamoor/transport/gateway/service_proxy.h"

#include <deque>
#include <utility>

#include "yuccamoor/coordination/request/shard_home.h"
#include "yuccamoor/protocol/api_error.h"
#include "yuccamoor/protocol/request/call_response.h"
#include "yuccamoor/transport/daemon/telemetry.h"
#include "yuccamoor/transport/gateway/api_response.h"
#include "yuccamoor/transport/gateway/shard_host.h"
#include "yuccamoor/transport/http_client.h"
#include "yuccamoor/transport/http_server.h"

namespace yuccamoor {
namespace {

constexpr int kServiceUnavailable = 503;
constexpr int kInternalError = 500;
constexpr std::size_t kGatewaysAssumed = 2;
constexpr DurationMs kShareGrowDelay(5'000);
/// Time that a forwarded request may take beyond its deadline.
constexpr DurationMs kForwardSlack(500);

HttpResponse MakeError(int status, std::string type, std::string message,
                       Outcome outcome = Outcome::kNotRun,
                       DurationMs retry_after = DurationMs(0)) {
  ApiError error;
  error.status = status;
  error.type = std::move(type);
  error.message = std::move(message);
  error.outcome = outcome;
  error.retry_after = retry_after;
  return ErrorResponse(error);
}

/// The outcome that a response tells, which may come from another gateway.
Outcome ParseOutcome(std::string_view name) {
  for (const Outcome outcome : {Outcome::kAnswered, Outcome::kNotRun}) {
    if (name == OutcomeName(outcome)) return outcome;
  }
  return Outcome::kUnknown;
}

/// What a refusal before any dispatch says of the request. A repeat cannot
/// speak for earlier sendings that may wait elsewhere.
Outcome RefusedOutcome(bool repeat) {
  return repeat ? Outcome::kUnknown : Outcome::kNotRun;
}

bool IsRepeat(const HttpRequest& request) {
  return !request.headers.Find(kFirstSentAgoHeader).empty();
}

/// What an endpoint says of itself and of the request.
bool SaysTrue(const HttpResponse& response, std::string_view header) {
  return response.headers.Find(header) == "true";
}

bool IsLeaving(const HttpResponse& response) {
  return SaysTrue(response, kLeavingHeader) ||
         (response.status == kServiceUnavailable &&
          response.headers.Find("Connection") == "close");
}

StoredAnswer ToStored(HttpResponse response) {
  StoredAnswer stored;
  stored.status = response.status;
  stored.content_type = std::string(response.headers.Find("Content-Type"));
  stored.body = std::move(response.body);
  return stored;
}

HttpResponse ToResponse(const CallEnd& end, const RequestId& id) {
  CallResponse call = ResponseOf(end);
  HttpResponse response;
  response.status = call.status;
  if (!call.content_type.empty()) {
    response.headers.Add("Content-Type", call.content_type);
  }
  response.headers.Add(std::string(kOutcomeHeader),
                       std::string(OutcomeName(call.outcome)));
  response.headers.Add(kRequestIdHeader, id.str());
  if (call.replayed) {
    response.headers.Add(std::string(kReplayedHeader), "true");
  }
  if (call.retry_after > DurationMs(0)) {
    response.headers.Add("Retry-After", RetryAfterSeconds(call.retry_after));
  }
  response.body = std::move(call.body);
  return response;
}

/// Headers that belong to one connection or are set anew for each hop.
bool IsHopHeader(std::string_view name) {
  constexpr std::string_view kHopHeaders[] = {
      "Connection",        "Keep-Alive", "Host",        "Content-Length", "TE",
      "Transfer-Encoding", "Upgrade",    "traceparent", kForwardedHeader};
  HttpHeaders probe;
  probe.Add(std::string(name), "x");
  for (const std::string_view hop : kHopHeaders) {
    if (!probe.Find(hop).empty()) return true;
  }
  return false;
}

HttpResponse WithoutHopHeaders(HttpResponse response) {
  HttpHeaders headers;
  for (const auto& [name, value] : response.headers) {
    if (!IsHopHeader(name)) headers.Add(name, value);
  }
  response.headers = std::move(headers);
  return response;
}

HttpRequest CopyForNextHop(const HttpRequest& request, std::string target) {
  HttpRequest copy;
  copy.method = request.method;
  copy.target = std::move(target);
  copy.body = request.body;
  for (const auto& [name, value] : request.headers) {
    if (!IsHopHeader(name)) copy.headers.Add(name, value);
  }
  return copy;
}

}  // namespace

/// What the gateway knows of one service. Guarded by the proxy's mutex.
struct ServiceProxy::ServiceState {
  ServiceState(const EndpointTracker& tracker, double limit)
      : endpoints(tracker, CircuitOptions()),
        budget(RetryBudgetOptions()),
        share(limit, kGatewaysAssumed, kShareGrowDelay) {}

  EndpointSet endpoints;
  RetryBudget budget;
  RateShare share;
};

ServiceProxy::ServiceProxy(ServiceProxyServices services, NodeId self,
                           std::uint64_t random_seed)
    : m_services(std::move(services)),
      m_self(std::move(self)),
      m_random(random_seed) {}

ServiceProxy::~ServiceProxy() = default;

void ServiceProxy::OnConfig(std::shared_ptr<const ConfigSnapshot> config) {
  const std::lock_guard lock(m_mutex);
  if (m_config == config) return;
  m_config = std::move(config);
  const TimeMs now = m_services.clock.Now();
  for (const auto& [id, service] : m_config->services) {
    auto& state = m_states[id];
    if (!state) {
      state = std::make_shared<ServiceState>(m_tracker,
                                             service->requests_per_second);
    }
    state->endpoints.OnConfig(service->endpoints);
    state->share.SetLimit(service->requests_per_second, now);
  }
  std::erase_if(m_states, [this](const auto& entry) {
    return m_config->FindService(entry.first) == nullptr;
  });
}

void ServiceProxy::OnVmList(const std::vector<VmEntry>& vms) {
  const std::lock_guard lock(m_mutex);
  m_tracker.OnVmList(vms, m_services.clock.Now());
}

void ServiceProxy::OnGateways(std::map<NodeId, std::string> gateways) {
  const std::lock_guard lock(m_mutex);
  m_gateways = std::move(gateways);
  const TimeMs now = m_services.clock.Now();
  for (const auto& [id, state] : m_states) {
    state->share.OnGateways(std::max<std::size_t>(1, m_gateways.size()), now);
  }
}

void ServiceProxy::OnGossip(const LeavingGossip& gossip) {
  const std::lock_guard lock(m_mutex);
  m_tracker.OnGossip(gossip, m_services.clock.Now());
}

std::optional<LeavingGossip> ServiceProxy::TakeGossip() {
  const std::lock_guard lock(m_mutex);
  if (!m_tracker.TakeChanged()) return std::nullopt;
  return m_tracker.Gossip(m_self, m_services.clock.Now());
}

void ServiceProxy::Tick() {
  const std::lock_guard lock(m_mutex);
  m_tracker.Tick(m_services.clock.Now());
}

Awaitable<void> ServiceProxy::Handle(HttpExchange& exchange, RequestId id) {
  const HttpRequest& request = exchange.request();
  RequestScope scope(m_services.telemetry, "gateway.service", std::move(id),
                     request.headers.Find("traceparent"));
  Job job;
  job.scope = &scope;
  HttpResponse response = co_await Answer(request, job);
  const std::string_view outcome = response.headers.Find(kOutcomeHeader);
  scope.End(ParseOutcome(outcome), response.status, "");
  co_await exchange.Send(std::move(response));
}

Awaitable<HttpResponse> ServiceProxy::Answer(const HttpRequest& request,
                                             Job& job) {
  std::optional<HttpResponse> refusal =
      Prepare(request, job.scope->record().id, job);
  if (refusal) co_return std::move(*refusal);
  job.scope->record().target = job.service->id.str();
  if (const auto home = HomeElsewhere(request, job)) {
    HttpReply reply = co_await Forward(request, job, *home);
    if (reply.progress == HttpProgress::kAnswered) {
      co_return WithoutHopHeaders(std::move(reply.response));
    }
    // The home may hold the key, or come to hold it. The shard's record
    // decides, here as there, but this sending is no longer the only one.
    if (reply.progress != HttpProgress::kNotSent && !job.spec.first_sent_ago) {
      job.spec.first_sent_ago = DurationMs(0);
    }
  }
  refusal = Admit(job);
  if (refusal) co_return std::move(*refusal);
  co_return co_await Run(request, job);
}

std::optional<HttpResponse> ServiceProxy::Prepare(const HttpRequest& request,
                                                  const RequestId& id,
                                                  Job& job) {
  const std::string_view rest =
      std::string_view(request.target).substr(kServicesPrefix.size());
  const std::size_t end = std::min(rest.find_first_of("/?"), rest.size());
  const ServiceId service{std::string(rest.substr(0, end))};
  job.path = std::string(rest.substr(end));
  if (job.path.empty() || job.path.front() != '/') job.path.insert(0, 1, '/');
  {
    const std::lock_guard lock(m_mutex);
    if (!m_config) {
      return MakeError(kServiceUnavailable, "not_ready",
                       "no configuration is known",
                       RefusedOutcome(IsRepeat(request)), DurationMs(1'000));
    }
    const auto it = m_config->services.find(service);
    if (it == m_config->services.end()) {
      return MakeError(404, "service_not_found",
                       "no such service: " + service.str(),
                       RefusedOutcome(IsRepeat(request)));
    }
    job.service = it->second;
    job.state = m_states.at(service);
  }
  bool valid_limit = true;
  job.spec.request = id;
  job.spec.attempt_timeout = job.service->timeout;
  job.spec.deadline = RequestDeadline(request, job.service->timeout,
                                      m_services.clock.Now(), valid_limit);
  if (!valid_limit) {
    return MakeError(400, "invalid_request",
                     std::string(kTimeoutHeader) + " is not a time limit",
                     RefusedOutcome(IsRepeat(request)));
  }
  return CheckKey(request, job);
}

std::optional<HttpResponse> ServiceProxy::CheckKey(const HttpRequest& request,
                                                   Job& job) {
  job.spec.idempotent =
      !ConfigSnapshot::IsNonIdempotent(*job.service, request.method, job.path);
  if (job.spec.idempotent) return std::nullopt;
  job.spec.key =
      IdempotencyKey(std::string(request.headers.Find(kIdempotencyKeyHeader)));
  job.spec.body_hash =
      HashRequest(request.method, request.target, request.body);
  job.spec.first_sent_ago =
      ParseFirstSentAgo(request.headers.Find(kFirstSentAgoHeader));
  if (IsRepeat(request) && !job.spec.first_sent_ago) {
    return MakeError(
        400, "invalid_request",
        std::string(kFirstSentAgoHeader) + " is not a number of milliseconds",
        Outcome::kUnknown);
  }
  if (job.spec.key.empty()) {
    return MakeError(
        400, "missing_idempotency_key",
        "this call needs the header " + std::string(kIdempotencyKeyHeader),
        RefusedOutcome(IsRepeat(request)));
  }
  return std::nullopt;
}

std::optional<HttpResponse> ServiceProxy::Admit(const Job& job) {
  const std::lock_guard lock(m_mutex);
  const TimeMs now = m_services.clock.Now();
  if (job.state->share.TryTake(now)) return std::nullopt;
  return MakeError(429, "rate_limited", "the service's limit is used up",
                   RefusedOutcome(job.spec.first_sent_ago.has_value()),
                   job.state->share.WaitTime(now));
}

std::optional<std::string> ServiceProxy::HomeElsewhere(
    const HttpRequest& request, const Job& job) const {
  if (job.spec.idempotent) return std::nullopt;
  if (!request.headers.Find(kForwardedHeader).empty()) return std::nullopt;
  const std::lock_guard lock(m_mutex);
  std::vector<NodeId> live;
  for (const auto& [id, address] : m_gateways) live.push_back(id);
  const auto home = HomeOf(ShardOf(job.spec.key, ShardHost::kShardCount), live);
  if (!home || *home == m_self) return std::nullopt;
  return m_gateways.at(*home);
}

Awaitable<HttpReply> ServiceProxy::Forward(const HttpRequest& request,
                                           const Job& job,
                                           std::string address) {
  const Span span = job.scope->StartSpan("gateway.forward", SpanKind::kClient);
  HttpRequest copy = CopyForNextHop(request, request.target);
  copy.headers.Add("traceparent", FormatTraceparent(span.context()));
  copy.headers.Add(kForwardedHeader, m_self.str());
  if (copy.headers.Find(kRequestIdHeader).empty()) {
    copy.headers.Add(kRequestIdHeader, job.spec.request.str());
  }
  HttpCallOptions options;
  options.timeout = job.spec.deadline - m_services.clock.Now() + kForwardSlack;
  co_return co_await m_services.client.Call(std::move(address), std::move(copy),
                                            options);
}

Awaitable<HttpResponse> ServiceProxy::Run(const HttpRequest& request,
                                          const Job& job) {
  PlainCall call(job.spec, job.state->endpoints, job.state->budget);
  std::deque<PlainStep> steps;
  const auto add = [&steps](PlainSteps more) {
    std::move(more.begin(), more.end(), std::back_inserter(steps));
  };
  {
    const std::lock_guard lock(m_mutex);
    add(call.Start(Random(), m_services.clock.Now()));
  }
  std::optional<CallEnd> end;
  while (!steps.empty()) {
    PlainStep step = std::move(steps.front());
    steps.pop_front();
    if (auto* begin = std::get_if<BeginKeyStep>(&step)) {
      add(co_await BeginKey(job, call, std::move(begin->begin)));
    } else if (auto* send = std::get_if<SendStep>(&step)) {
      add(co_await SendOnce(request, job, call, std::move(*send)));
    } else if (auto* finish = std::get_if<FinishKeyStep>(&step)) {
      m_services.shards->Finish(finish->key, finish->outcome,
                                std::move(finish->answer));
    } else if (auto* ended = std::get_if<EndStep>(&step)) {
      end = std::move(ended->end);
    }
  }
  assert(end && "a call ends with an EndStep");
  co_return ToResponse(*end, job.spec.request);
}

Awaitable<PlainSteps> ServiceProxy::BeginKey(const Job& job, PlainCall& call,
                                             ShardBegin begin) {
  const Span span = job.scope->StartSpan("key_value.commit", SpanKind::kClient);
  const ShardVerdict verdict =
      co_await m_services.shards->Begin(std::move(begin));
  const std::lock_guard lock(m_mutex);
  if (const auto* replay = std::get_if<ShardReplay>(&verdict)) {
    co_return call.OnReplay(replay->answer);
  }
  if (const auto* refuse = std::get_if<ShardRefuse>(&verdict)) {
    co_return call.OnShardRefused(*refuse);
  }
  co_return call.OnDispatchRight(Random(), m_services.clock.Now());
}

Awaitable<PlainSteps> ServiceProxy::SendOnce(const HttpRequest& request,
                                             const Job& job, PlainCall& call,
                                             SendStep step) {
  Span span = job.scope->StartSpan("service.call", SpanKind::kClient);
  span.Attribute("endpoint", step.endpoint.id);
  const TimeMs start = m_services.clock.Now();
  HttpRequest copy = CopyForNextHop(request, job.path);
  copy.headers.Add("traceparent", FormatTraceparent(span.context()));
  if (copy.headers.Find(kRequestIdHeader).empty()) {
    copy.headers.Add(kRequestIdHeader, job.spec.request.str());
  }
  HttpCallOptions options;
  options.timeout = step.timeout;
  // A kept connection may be closed by the endpoint just as the request is
  // written; nobody could tell then whether it ran.
  options.fresh_connection = !job.spec.idempotent;
  options.may_send = [this, &call, attempt = step.attempt] {
    const std::lock_guard lock(m_mutex);
    return call.OnDispatch(attempt, m_services.clock.Now());
  };
  HttpReply reply = co_await m_services.client.Call(
      step.endpoint.address, std::move(copy), std::move(options));
  constexpr const char* kProgressNames[] = {"not_sent", "lost", "answered"};
  job.scope->record().attempts.push_back(AttemptRecord{
      step.endpoint.id.str(), kProgressNames[static_cast<int>(reply.progress)],
      m_services.clock.Now() - start});
  if (reply.progress != HttpProgress::kAnswered) span.Fail(reply.error);
  const std::lock_guard lock(m_mutex);
  const TimeMs now = m_services.clock.Now();
  switch (reply.progress) {
    case HttpProgress::kNotSent:
      co_return call.OnNotSent(step.attempt, Random(), now);
    case HttpProgress::kNoAnswer:
      co_return call.OnLost(step.attempt, Random(), now);
    case HttpProgress::kAnswered:
      break;
  }
  if (IsLeaving(reply.response)) {
    m_tracker.OnLeavingAnswer(step.endpoint.vm, now);
  }
  if (SaysTrue(reply.response, kNotRunHeader)) {
    co_return call.OnRefused(step.attempt, Random(), now);
  }
  const bool healthy = reply.response.status < kInternalError;
  co_return call.OnAnswer(step.attempt, ToStored(std::move(reply.response)),
                          healthy, now);
}

}  // namespace yuccamoor
