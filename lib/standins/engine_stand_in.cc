/// \file
/// \brief Stand-in for a model engine.

#include "yuccamoor/standins/engine_stand_in.h"

#include <boost/asio/this_coro.hpp>
#include <random>
#include <string_view>
#include <utility>

#include "yuccamoor/protocol/json.h"
#include "yuccamoor/protocol/platform/engine_codec.h"
#include "yuccamoor/standins/token_rule.h"
#include "yuccamoor/transport/async_event.h"
#include "yuccamoor/transport/http_client.h"
#include "yuccamoor/transport/http_server.h"
#include "yuccamoor/transport/worker_pool.h"

namespace yuccamoor {
namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;
constexpr int kHttpUnavailable = 503;
constexpr DurationMs kLoadPoll(5);
constexpr DurationMs kLoadTimeWithoutStore(250);
constexpr DurationMs kFetchTimeout(60'000);
constexpr DurationMs kFollowerWait(1'000);

/// An id that no other instance of this worker has had.
InstanceId NewInstance(const WorkerId& worker) {
  std::random_device device;
  return InstanceId(worker.str() + "-" + std::to_string(device()));
}

HttpResponse RefusalResponse(GenerateRefusal refusal) {
  constexpr int kHttpConflict = 409;
  constexpr int kHttpTooMany = 429;
  switch (refusal) {
    case GenerateRefusal::kNotResident:
      return JsonResponse(kHttpConflict, R"({"error":"not_resident"})");
    case GenerateRefusal::kLeaving:
      return JsonResponse(kHttpUnavailable, R"({"error":"leaving"})");
    case GenerateRefusal::kUnknownStream:
      return JsonResponse(kHttpNotFound, R"({"error":"unknown_stream"})");
    case GenerateRefusal::kQueueFull:
      return JsonResponse(kHttpTooMany, R"({"error":"queue_full"})");
    case GenerateRefusal::kMismatch:
    case GenerateRefusal::kNone:
      break;
  }
  return JsonResponse(kHttpBadRequest, R"({"error":"request_id_reused"})");
}

/// Returns an event of this answer, without a token.
TokenEvent EventOf(const GenerateRequest& request, const InstanceId& instance) {
  TokenEvent event;
  event.request_id = request.request_id;
  event.attempt = request.attempt;
  event.target = request.target;
  event.instance = instance;
  return event;
}

/// Returns the events of the tokens from \p first to before \p end.
std::string TokenEvents(const GenerateRequest& request,
                        const InstanceId& instance, std::uint32_t first,
                        std::uint32_t end) {
  TokenEvent event = EventOf(request, instance);
  std::string text;
  for (event.index = first; event.index < end; ++event.index) {
    event.token = ExpectedToken(request.target, request.prompt, event.index);
    text += EncodeTokenEvent(event);
  }
  return text;
}

std::string DoneEvent(const GenerateRequest& request,
                      const InstanceId& instance, std::uint32_t tokens) {
  TokenEvent event = EventOf(request, instance);
  event.index = tokens;
  event.done = true;
  return EncodeTokenEvent(event);
}

}  // namespace

EngineStandIn::EngineStandIn(WorkerPool& pool, HttpClient& client,
                             const EngineOptions& options,
                             std::string store_address)
    : m_client(client),
      m_options(options),
      m_store_address(std::move(store_address)),
      m_core(options, NewInstance(options.worker)) {
  pool.Every(options.token_time, [this] {
    const std::lock_guard lock(m_mutex);
    m_core.Step(m_clock.Now());
  });
}

Awaitable<void> EngineStandIn::Handle(HttpExchange& exchange) {
  const std::string& target = exchange.request().target;
  if (target == "/faults") SetFaults(exchange.request().body);
  if (co_await HandleFaults(exchange, m_faults)) co_return;
  if (target == "/counters") {
    co_await exchange.Send(JsonResponse(kHttpOk, CountersJson()));
    co_return;
  }
  if (co_await HandleOutage(exchange, m_faults)) co_return;
  if (target == "/v1/generate") {
    co_await HandleGenerate(exchange);
  } else if (target == "/v1/cancel") {
    co_await HandleCancel(exchange);
  } else if (target == "/report") {
    co_await HandleReport(exchange);
  } else if (target == "/orders") {
    co_await HandleOrder(exchange);
  } else {
    co_await exchange.Send(JsonResponse(kHttpNotFound, "{}"));
  }
}

Awaitable<void> EngineStandIn::HandleGenerate(HttpExchange& exchange) {
  const auto request = DecodeGenerateRequest(exchange.request().body);
  if (!request || request->max_tokens == 0) {
    co_await exchange.Send(
        JsonResponse(kHttpBadRequest, R"({"error":"malformed"})"));
    co_return;
  }
  GenerateRefusal refusal = GenerateRefusal::kNone;
  EngineStreamPtr stream;
  {
    const std::lock_guard lock(m_mutex);
    std::tie(refusal, stream) = m_core.Generate(*request);
  }
  if (refusal != GenerateRefusal::kNone) {
    co_await exchange.Send(RefusalResponse(refusal));
    co_return;
  }
  co_await SendStream(exchange, std::move(stream), *request);
}

Awaitable<void> EngineStandIn::SendStream(HttpExchange& exchange,
                                          EngineStreamPtr stream,
                                          GenerateRequest request) {
  const auto moved = AsyncEvent::Create(co_await asio::this_coro::executor);
  {
    const std::lock_guard lock(m_mutex);
    stream->followers.push_back(moved);
  }
  const bool cut_early = m_faults.TakeLostAnswer();
  HttpHeaders headers;
  headers.Add("Content-Type", "text/event-stream");
  co_await exchange.StartStream(kHttpOk, std::move(headers));
  std::uint32_t sent = request.resume_from;
  for (;;) {
    StreamPhase phase = StreamPhase::kQueued;
    std::uint32_t produced = 0;
    {
      const std::lock_guard lock(m_mutex);
      phase = stream->phase;
      produced = stream->produced;
    }
    if (produced > sent) {
      co_await exchange.Write(
          TokenEvents(request, stream->instance, sent, produced));
      sent = produced;
      if (cut_early) co_return;
    }
    if (phase == StreamPhase::kFinished) {
      co_await exchange.Write(DoneEvent(request, stream->instance, produced));
      co_await exchange.FinishStream();
      co_return;
    }
    if (phase == StreamPhase::kCut || phase == StreamPhase::kCancelled) {
      co_return;
    }
    co_await moved->WaitFor(kFollowerWait);
  }
}

Awaitable<void> EngineStandIn::HandleCancel(HttpExchange& exchange) {
  const Json json = Json::parse(exchange.request().body, nullptr, false);
  bool cancelled = false;
  if (json.is_object() && json.contains("request_id")) {
    const std::lock_guard lock(m_mutex);
    constexpr std::uint32_t kLatest = 0xFFFF'FFFF;
    const Json attempt = json.value("attempt", Json(kLatest));
    cancelled = m_core.Cancel(json["request_id"].get<RequestId>(),
                              GetUnsigned32(attempt));
  }
  const std::string body = Json{{"cancelled", cancelled}}.dump();
  co_await exchange.Send(JsonResponse(kHttpOk, body));
}

Awaitable<void> EngineStandIn::HandleReport(HttpExchange& exchange) {
  if (TakeFailure(m_skip_reports)) co_return;
  std::optional<EngineReport> report;
  {
    const std::lock_guard lock(m_mutex);
    report = m_core.Report(m_clock.Now());
  }
  HttpResponse response =
      JsonResponse(kHttpUnavailable, R"({"error":"no_report"})");
  if (report) response = JsonResponse(kHttpOk, EncodeEngineReport(*report));
  co_await exchange.Send(std::move(response));
}

Awaitable<void> EngineStandIn::HandleOrder(HttpExchange& exchange) {
  const auto order = DecodeEngineOrder(exchange.request().body);
  if (!order || order->worker != m_options.worker) {
    co_await exchange.Send(
        JsonResponse(kHttpBadRequest, R"({"error":"malformed"})"));
    co_return;
  }
  OrderResult result;
  result.worker = order->worker;
  result.epoch = order->epoch;
  result.number = order->number;
  std::optional<OrderStatus> status;
  bool begun = false;
  {
    const std::lock_guard lock(m_mutex);
    const bool loading = m_core.IsLoading(order->target);
    status = m_core.TakeOrder(*order);
    result.instance = m_core.instance();
    begun = !status && !loading;
  }
  if (begun) {
    const bool loaded = co_await Fetch(order->target);
    const std::lock_guard lock(m_mutex);
    m_core.EndLoad(order->target, result.instance, loaded);
  }
  if (!status) status = co_await AwaitLoad(order->target, result.instance);
  result.status = *status;
  if (m_faults.TakeLostAnswer()) co_return;
  co_await exchange.Send(JsonResponse(kHttpOk, EncodeOrderResult(result)));
}

Awaitable<OrderStatus> EngineStandIn::AwaitLoad(AdapterVersion target,
                                                InstanceId instance) {
  for (;;) {
    {
      const std::lock_guard lock(m_mutex);
      if (m_core.instance() != instance) co_return OrderStatus::kFailed;
      if (m_core.IsResident(target)) co_return OrderStatus::kDone;
      if (!m_core.IsLoading(target)) co_return OrderStatus::kFailed;
    }
    co_await SleepFor(kLoadPoll);
  }
}

Awaitable<bool> EngineStandIn::Fetch(AdapterVersion target) {
  bool fetched = true;
  if (m_store_address.empty()) {
    co_await SleepFor(kLoadTimeWithoutStore);
  } else {
    HttpRequest request;
    request.method = "POST";
    request.target = "/fetch";
    request.body = Json{{"target", target}}.dump();
    HttpCallOptions options;
    options.timeout = kFetchTimeout;
    const HttpReply reply = co_await m_client.Call(
        m_store_address, std::move(request), std::move(options));
    fetched = reply.progress == HttpProgress::kAnswered &&
              reply.response.status == kHttpOk;
  }
  co_return fetched && !TakeFailure(m_fail_loads);
}

bool EngineStandIn::TakeFailure(std::uint32_t& left) {
  const std::lock_guard lock(m_mutex);
  if (left == 0) return false;
  --left;
  return true;
}

void EngineStandIn::SetFaults(const std::string& body) {
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object()) return;
  const std::lock_guard lock(m_mutex);
  m_fail_loads = json.value("fail_loads", m_fail_loads);
  m_skip_reports = json.value("skip_reports", m_skip_reports);
  if (json.value("restart", false)) {
    m_core.Restart(NewInstance(m_options.worker));
  }
  if (json.contains("leaving")) m_core.SetLeaving(json["leaving"].get<bool>());
}

std::string EngineStandIn::CountersJson() const {
  const std::lock_guard lock(m_mutex);
  return EncodeEngineCounters(m_core.counters(), m_core.instance(),
                              m_options.batch);
}

}  // namespace yuccamoor
