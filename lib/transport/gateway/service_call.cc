/// \file
/// \brief How the proxy carries one call out: the key's shard, the attempts and
/// the answer.

#include <cassert>
#include <deque>
#include <iterator>
#include <utility>

#include "proxy_headers.h"
#include "service_state.h"
#include "yuccamoor/protocol/request/call_response.h"
#include "yuccamoor/transport/daemon/telemetry.h"
#include "yuccamoor/transport/gateway/api_response.h"
#include "yuccamoor/transport/gateway/service_proxy.h"
#include "yuccamoor/transport/gateway/shard_host.h"
#include "yuccamoor/transport/http_client.h"

namespace yuccamoor {
namespace {

constexpr int kServiceUnavailable = 503;
constexpr int kInternalError = 500;

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

}  // namespace

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
