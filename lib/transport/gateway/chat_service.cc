/// \file
/// \brief Implementation of the chat service.

#include "yuccamoor/transport/gateway/chat_service.h"

#include <iomanip>
#include <optional>
#include <random>
#include <sstream>
#include <utility>

#include "chat_run.h"
#include "chat_stream.h"
#include "resume_store.h"
#include "yuccamoor/protocol/request/call_response.h"
#include "yuccamoor/transport/daemon/telemetry.h"
#include "yuccamoor/transport/gateway/admission_gate.h"
#include "yuccamoor/transport/gateway/api_response.h"
#include "yuccamoor/transport/gateway/cell_session.h"
#include "yuccamoor/transport/http_server.h"

namespace yuccamoor {
namespace {

constexpr DurationMs kRetryAfterOverload(1'000);

ApiError NotReady(std::string message) {
  ApiError error = MakeApiError(503, "not_ready", std::move(message));
  error.retry_after = kRetryAfterOverload;
  return error;
}

/// Gathers a whole answer.
class TextSink final : public TokenSink {
 public:
  explicit TextSink(HttpExchange& exchange) : m_exchange(exchange) {}

  void OnAttempt(const StreamHandle& /*stream*/) override {}
  Awaitable<void> OnToken(const std::string& token,
                          TokenIndex /*index*/) override {
    m_text += token;
    co_return;
  }
  Awaitable<void> Flush() override { co_return; }
  bool Committed() const override { return false; }
  void Reset() override { m_text.clear(); }
  bool CallerGone() override { return m_exchange.ClientGone(); }

  std::string TakeText() { return std::move(m_text); }

 private:
  HttpExchange& m_exchange;
  std::string m_text;
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

AdmissionOptions GateOptions(const ChatOptions& options) {
  AdmissionOptions gate;
  gate.max_running = static_cast<std::uint32_t>(options.max_requests);
  gate.retry_after = kRetryAfterOverload;
  return gate;
}

/// Returns an id that nobody can guess.
RequestId NewGenerationId() {
  constexpr int kWords = 4;
  constexpr int kDigits = 8;
  std::random_device device;
  std::ostringstream text;
  text << std::hex << std::setfill('0');
  for (int i = 0; i < kWords; ++i) text << std::setw(kDigits) << device();
  return RequestId(text.str());
}

}  // namespace

ChatService::ChatService(ChatServices services, ChatOptions options)
    : m_services(services),
      m_options(options),
      m_resume(std::make_unique<ResumeStore>(services.clock)),
      m_gate(std::make_unique<AdmissionGate>(
          GateOptions(options), services.clock, std::random_device()())) {}

ChatService::~ChatService() = default;

void ChatService::Tick() { m_resume->Tick(); }

std::size_t ChatService::active() const { return m_gate->running(); }

Awaitable<void> ChatService::Handle(HttpExchange& exchange, RequestId id) {
  RequestScope scope(m_services.telemetry, "gateway.chat", std::move(id),
                     exchange.request().headers.Find("traceparent"));
  ChatJob job;
  job.id = scope.record().id;
  job.scope = &scope;
  std::optional<ApiError> error = Prepare(exchange.request(), job);
  std::optional<AdmissionPass> pass;
  if (!error) {
    std::ostringstream target;
    target << job.target;
    scope.record().target = target.str();
    scope.record().id = job.id;
    error = co_await Admit(exchange, job, pass);
  }
  if (error) {
    co_await Refuse(exchange, scope, std::move(*error));
    co_return;
  }
  co_await AnswerAdmitted(exchange, job);
}

Awaitable<std::optional<ApiError>> ChatService::Admit(
    HttpExchange& exchange, const ChatJob& job,
    std::optional<AdmissionPass>& pass) {
  AdmissionWish wish;
  wish.priority = job.priority;
  wish.deadline = job.deadline;
  wish.caller_gone = [&exchange] { return exchange.ClientGone(); };
  AdmissionResult result = co_await m_gate->Enter(std::move(wish));
  if (result.pass) {
    pass.emplace(std::move(*result.pass));
    co_return std::nullopt;
  }
  ApiError error = MakeApiError(504, "deadline_exceeded",
                                "the request's time limit has passed");
  if (result.refused) {
    error = MakeApiError(503, "overloaded",
                         "this gateway serves too many requests");
    error.retry_after = result.retry_after;
  }
  // What was begun earlier goes on at its engine.
  if (job.resume) error.outcome = Outcome::kUnknown;
  co_return error;
}

Awaitable<void> ChatService::AnswerAdmitted(HttpExchange& exchange,
                                            const ChatJob& job) {
  if (job.request.stream) {
    co_await AnswerStreamed(m_services, *m_resume, job, exchange);
    co_return;
  }
  co_await AnswerWhole(m_services, job, exchange);
}

Findings ChatService::ReadHeaders(const HttpRequest& request,
                                  ChatJob& job) const {
  Findings findings;
  bool valid_limit = true;
  job.deadline = RequestDeadline(request, m_options.default_deadline,
                                 m_services.clock.Now(), valid_limit);
  if (!valid_limit) {
    findings.Add(Place{"header", kTimeoutHeader, 0, 0},
                 "is not a time limit in milliseconds");
  }
  const std::string_view last_event = request.headers.Find(kLastEventHeader);
  if (last_event.empty()) {
    job.generation = NewGenerationId();
    return findings;
  }
  job.resume = DecodeStreamEventId(last_event);
  const Place place{"header", kLastEventHeader, 0, 0};
  if (!job.resume) {
    findings.Add(place, "is no event id of a streamed answer");
    return findings;
  }
  const StreamHandle& stream = job.resume->stream;
  const std::string_view id = request.headers.Find(kRequestIdHeader);
  if (!id.empty() && id != stream.request.str()) {
    findings.Add(place, "is an event of another request");
  }
  job.generation = stream.generation;
  job.id = stream.request;
  return findings;
}

std::optional<AdapterVersion> ChatService::ResolveTarget(
    const ConfigSnapshot& config, const ChatJob& job) {
  const std::string& model = job.request.model;
  const std::string& user = job.request.user;
  auto target = config.Resolve(model, user.empty() ? job.id.str() : user);
  if (!job.resume || target == job.resume->stream.target) return target;
  // An alias may have moved on since, but the answer goes on as it was begun.
  const bool alias = config.aliases.contains(model);
  return alias ? std::optional(job.resume->stream.target) : std::nullopt;
}

std::optional<ApiError> ChatService::Prepare(const HttpRequest& request,
                                             ChatJob& job) {
  auto parsed = ParseChatRequest(request.body);
  Findings findings = ReadHeaders(request, job);
  if (!parsed) findings.Append(parsed.error());
  if (parsed && job.resume && !parsed.value().stream) {
    findings.Add(Place{"request", "/stream", 0, 0},
                 "is not set, but an event id is given");
  }
  if (!findings.empty()) {
    ApiError error =
        MakeApiError(400, "invalid_request", "the request is not valid");
    error.findings = std::move(findings);
    return error;
  }
  job.request = std::move(parsed).value();
  const auto config = m_services.directory.Config();
  if (!config) return NotReady("no configuration is known");
  const auto target = ResolveTarget(*config, job);
  const AdapterConfig* adapter =
      target ? config->FindAdapter(target->adapter) : nullptr;
  if (adapter != nullptr) {
    job.session = m_services.directory.Session(adapter->cell);
  }
  if (!job.session) {
    return MakeApiError(
        404, "model_not_found",
        "no such adapter, version or alias: " + job.request.model);
  }
  job.target = *target;
  job.priority = adapter->priority;
  return std::nullopt;
}

}  // namespace yuccamoor
