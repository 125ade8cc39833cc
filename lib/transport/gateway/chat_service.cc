/// \file
/// \brief Implementation of the chat service.

#include "yuccamoor/transport/gateway/chat_service.h"

#include <optional>
#include <sstream>
#include <utility>

#include "chat_run.h"
#include "yuccamoor/protocol/request/call_response.h"
#include "yuccamoor/protocol/sse.h"
#include "yuccamoor/transport/daemon/telemetry.h"
#include "yuccamoor/transport/gateway/api_response.h"
#include "yuccamoor/transport/gateway/cell_session.h"
#include "yuccamoor/transport/http_server.h"

namespace yuccamoor {
namespace {

constexpr DurationMs kRetryAfterOverload(1'000);

ApiError MakeError(int status, std::string type, std::string message) {
  ApiError error;
  error.status = status;
  error.type = std::move(type);
  error.message = std::move(message);
  return error;
}

ApiError NotReady(std::string message) {
  ApiError error = MakeError(503, "not_ready", std::move(message));
  error.retry_after = kRetryAfterOverload;
  return error;
}

/// Gathers a whole answer.
class TextSink final : public TokenSink {
 public:
  explicit TextSink(HttpExchange& exchange) : m_exchange(exchange) {}

  Awaitable<void> OnToken(const std::string& token,
                          TokenIndex /*index*/) override {
    m_text += token;
    co_return;
  }
  bool Committed() const override { return false; }
  void Reset() override { m_text.clear(); }
  bool CallerGone() override { return m_exchange.ClientGone(); }

  std::string TakeText() { return std::move(m_text); }

 private:
  HttpExchange& m_exchange;
  std::string m_text;
};

/// Passes tokens on as events.
class StreamSink final : public TokenSink {
 public:
  StreamSink(HttpExchange& exchange, const ChatJob& job)
      : m_exchange(exchange), m_job(job) {}

  Awaitable<void> OnToken(const std::string& token, TokenIndex index) override {
    co_await Start();
    SseEvent event;
    event.id = std::to_string(index.value());
    event.data = EncodeChatChunk(m_job.id, m_job.target, token);
    co_await m_exchange.Write(EncodeSse(event));
  }
  bool Committed() const override { return m_started; }
  void Reset() override {}
  bool CallerGone() override { return m_exchange.ClientGone(); }

  /// Sends the header, once.
  Awaitable<void> Start() {
    if (m_started) co_return;
    m_started = true;
    HttpHeaders headers;
    headers.Add("Content-Type", "text/event-stream");
    headers.Add("Cache-Control", "no-store");
    headers.Add(kRequestIdHeader, m_job.id.str());
    co_await m_exchange.StartStream(200, std::move(headers));
  }

 private:
  HttpExchange& m_exchange;
  const ChatJob& m_job;
  bool m_started = false;
};

Awaitable<void> Refuse(HttpExchange& exchange, RequestScope& scope,
                       ApiError error) {
  scope.End(error.outcome, error.status, error.type);
  co_await SendError(exchange, std::move(error));
}

Awaitable<void> AnswerWhole(const ChatServices& services, const ChatJob& job,
                            HttpExchange& exchange) {
  TextSink sink(exchange);
  ChatRun run(services, job, sink);
  std::optional<ApiError> error = co_await run.Execute();
  if (error) {
    co_await Refuse(exchange, *job.scope, std::move(*error));
    co_return;
  }
  job.scope->End(Outcome::kAnswered, 200, "");
  ChatAnswer answer;
  answer.request = job.id;
  answer.target = job.target;
  answer.text = sink.TakeText();
  answer.tokens = run.tokens();
  HttpResponse response = JsonResponse(200, EncodeChatAnswer(answer));
  response.headers.Add(std::string(kOutcomeHeader),
                       std::string(OutcomeName(Outcome::kAnswered)));
  response.headers.Add(kRequestIdHeader, job.id.str());
  co_await exchange.Send(std::move(response));
}

Awaitable<void> WriteEvent(HttpExchange& exchange, std::string data) {
  SseEvent event;
  event.data = std::move(data);
  co_await exchange.Write(EncodeSse(event));
}

Awaitable<void> AnswerStreamed(const ChatServices& services, const ChatJob& job,
                               HttpExchange& exchange) {
  StreamSink sink(exchange, job);
  ChatRun run(services, job, sink);
  std::optional<ApiError> error = co_await run.Execute();
  if (error && !sink.Committed()) {
    co_await Refuse(exchange, *job.scope, std::move(*error));
    co_return;
  }
  if (error) {
    job.scope->End(error->outcome, 200, error->type);
    // The header has gone out: the error is an event, and the body is left
    // without its end, so that no client takes the answer for whole.
    co_await WriteEvent(exchange, EncodeApiError(*error));
    co_return;
  }
  job.scope->End(Outcome::kAnswered, 200, "");
  co_await sink.Start();
  co_await WriteEvent(exchange,
                      EncodeChatEnd(job.id, job.target, run.tokens()));
  co_await WriteEvent(exchange, std::string(kChatDone));
  co_await exchange.FinishStream();
}

/// Counts a request while it is served.
class ActiveGuard {
 public:
  explicit ActiveGuard(std::atomic<std::size_t>& count) : m_count(count) {
    m_position = ++m_count;
  }
  ~ActiveGuard() { --m_count; }
  ActiveGuard(const ActiveGuard&) = delete;
  ActiveGuard& operator=(const ActiveGuard&) = delete;

  std::size_t position() const { return m_position; }

 private:
  std::atomic<std::size_t>& m_count;
  std::size_t m_position;
};

}  // namespace

ChatService::ChatService(ChatServices services, ChatOptions options)
    : m_services(services), m_options(options) {}

Awaitable<void> ChatService::Handle(HttpExchange& exchange, RequestId id) {
  const ActiveGuard guard(m_active);
  RequestScope scope(m_services.telemetry, "gateway.chat", std::move(id),
                     exchange.request().headers.Find("traceparent"));
  if (guard.position() > m_options.max_requests) {
    ApiError error =
        MakeError(503, "overloaded", "this gateway serves too many requests");
    error.retry_after = kRetryAfterOverload;
    co_await Refuse(exchange, scope, std::move(error));
    co_return;
  }
  co_await HandleAdmitted(exchange, scope);
}

Awaitable<void> ChatService::HandleAdmitted(HttpExchange& exchange,
                                            RequestScope& scope) {
  ChatJob job;
  job.id = scope.record().id;
  job.scope = &scope;
  std::optional<ApiError> error = Prepare(exchange.request(), job);
  if (error) {
    co_await Refuse(exchange, scope, std::move(*error));
    co_return;
  }
  std::ostringstream target;
  target << job.target;
  scope.record().target = target.str();
  if (job.request.stream) {
    co_await AnswerStreamed(m_services, job, exchange);
    co_return;
  }
  co_await AnswerWhole(m_services, job, exchange);
}

std::optional<ApiError> ChatService::Prepare(const HttpRequest& request,
                                             ChatJob& job) {
  auto parsed = ParseChatRequest(request.body);
  bool valid_limit = true;
  job.deadline = RequestDeadline(request, m_options.default_deadline,
                                 m_services.clock.Now(), valid_limit);
  if (!parsed || !valid_limit) {
    ApiError error =
        MakeError(400, "invalid_request", "the request is not valid");
    if (!parsed) error.findings = parsed.error();
    if (!valid_limit) {
      error.findings.Add(Place{"header", kTimeoutHeader, 0, 0},
                         "is not a time limit in milliseconds");
    }
    return error;
  }
  job.request = std::move(parsed).value();
  const auto config = m_services.directory.Config();
  if (!config) return NotReady("no configuration is known");
  const std::string& user = job.request.user;
  const auto target =
      config->Resolve(job.request.model, user.empty() ? job.id.str() : user);
  const AdapterConfig* adapter =
      target ? config->FindAdapter(target->adapter) : nullptr;
  if (adapter != nullptr) {
    job.session = m_services.directory.Session(adapter->cell);
  }
  if (!job.session) {
    return MakeError(404, "model_not_found",
                     "no such adapter, version or alias: " + job.request.model);
  }
  job.target = *target;
  job.priority = adapter->priority;
  return std::nullopt;
}

}  // namespace yuccamoor
