/// \file
/// \brief Implementation of the proxy to plain services: its view of services,
/// VMs and gateways, and the way of a request to its home.

#include "yuccamoor/transport/gateway/service_proxy.h"

#include <algorithm>
#include <utility>

#include "proxy_headers.h"
#include "service_state.h"
#include "yuccamoor/coordination/request/shard_home.h"
#include "yuccamoor/protocol/request/call_response.h"
#include "yuccamoor/transport/daemon/telemetry.h"
#include "yuccamoor/transport/gateway/api_response.h"
#include "yuccamoor/transport/gateway/shard_host.h"
#include "yuccamoor/transport/http_client.h"
#include "yuccamoor/transport/http_server.h"

namespace yuccamoor {
namespace {

/// Time that a forwarded request may take beyond its deadline.
constexpr DurationMs kForwardSlack(500);

/// The outcome that a response tells, which may come from another gateway.
Outcome ParseOutcome(std::string_view name) {
  for (const Outcome outcome : {Outcome::kAnswered, Outcome::kNotRun}) {
    if (name == OutcomeName(outcome)) return outcome;
  }
  return Outcome::kUnknown;
}

}  // namespace

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
    const bool answered = reply.progress == HttpProgress::kAnswered;
    // A gateway that starts, lags behind or shuts down has begun nothing.
    const bool begun_nothing =
        reply.progress == HttpProgress::kNotSent ||
        (answered && !reply.response.headers.Find(kNotTakenHeader).empty());
    if (answered && !begun_nothing) {
      co_return WithoutHopHeaders(std::move(reply.response));
    }
    // The home may hold the key, or come to hold it. The shard's record
    // decides, here as there, but this sending is no longer the only one.
    if (!begun_nothing && !job.spec.first_sent_ago) {
      job.spec.first_sent_ago = DurationMs(0);
    }
  }
  refusal = Admit(job);
  if (refusal) co_return std::move(*refusal);
  co_return co_await Run(request, job);
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

}  // namespace yuccamoor
