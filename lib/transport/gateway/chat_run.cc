/// \file
/// \brief Implementation of one chat request's attempts.

#include "chat_run.h"

#include <algorithm>
#include <utility>

#include "yuccamoor/coordination/backoff.h"
#include "yuccamoor/protocol/json.h"
#include "yuccamoor/protocol/platform/generation.h"
#include "yuccamoor/protocol/sse.h"
#include "yuccamoor/transport/daemon/telemetry.h"
#include "yuccamoor/transport/gateway/cell_session.h"
#include "yuccamoor/transport/http_client.h"
#include "yuccamoor/transport/observability/log_event.h"
#include "yuccamoor/transport/worker_pool.h"

namespace yuccamoor {
namespace {

constexpr std::size_t kMaxHeldFrames = 256;
/// A gateway that takes a stream over counts on from here, so that its attempts
/// are later than those that the earlier gateway may still make.
constexpr std::uint64_t kAttemptsPerGateway = 1'000;
/// The longest wait for the one engine that holds a stream.
constexpr DurationMs kPinnedWait(5'000);
constexpr BackoffLimits kAttemptBackoff{DurationMs(20), DurationMs(1'000)};
/// The longest time between two frames of a stream.
constexpr DurationMs kFrameTimeout(30'000);
constexpr DurationMs kHeaderTimeout(5'000);
constexpr DurationMs kCancelTimeout(1'000);
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kServiceUnavailable = 503;

/// Hashes the beginning of the prompt, so that requests that share it prefer
/// the worker that has it cached.
std::uint64_t PrefixKey(const std::string& prompt) {
  constexpr std::size_t kPrefixBytes = 256;
  return std::hash<std::string_view>()(
      std::string_view(prompt).substr(0, kPrefixBytes));
}

TokenFrame ToFrame(const TokenEvent& event) {
  TokenFrame frame;
  frame.request = event.request_id;
  frame.attempt = AttemptNumber(event.attempt);
  frame.target = event.target;
  frame.instance = event.instance;
  frame.index = TokenIndex(event.index);
  frame.text = event.token;
  frame.done = event.done;
  return frame;
}

}  // namespace

ChatRun::ChatRun(const ChatServices& services, const ChatJob& job,
                 TokenSink& sink)
    : m_services(services),
      m_job(job),
      m_sink(sink),
      m_prompt(BuildPrompt(job.request)),
      m_random(std::hash<RequestId>()(job.id)),
      m_assembler(job.generation, job.target, kMaxHeldFrames) {
  if (!job.resume) return;
  const StreamHandle& stream = job.resume->stream;
  m_assembler =
      StreamAssembler::Resumed(job.generation, job.target, stream.instance,
                               job.resume->index.Next(), kMaxHeldFrames);
  m_attempt = AttemptNumber(stream.attempt.value() + kAttemptsPerGateway);
  m_engine = EnginePin{stream.worker, stream.instance};
  m_dispatched = true;
}

Awaitable<std::optional<ApiError>> ChatRun::Execute() {
  const std::uint64_t prefix_key = PrefixKey(m_prompt);
  for (;;) {
    const AcquireResult acquired = co_await WaitForGrant(prefix_key);
    if (!acquired.placement) co_return FailureOf(acquired);
    const AttemptEnd end = co_await TryOn(*acquired.placement);
    if (end == AttemptEnd::kWhole) co_return std::nullopt;
    if (end == AttemptEnd::kVoid) co_return Cut();
    if (m_services.clock.Now() >= m_job.deadline) {
      co_return FailureOf(AcquireResult());
    }
    ++m_failures;
    co_await SleepFor(BackoffDelay(kAttemptBackoff, m_failures, Random()));
  }
}

Awaitable<AcquireResult> ChatRun::WaitForGrant(std::uint64_t prefix_key) {
  Span span = m_job.scope->StartSpan("load_wait", SpanKind::kInternal);
  const TimeMs start = m_services.clock.Now();
  AcquireRequest request;
  request.target = m_job.target;
  request.priority = m_job.priority;
  request.deadline = m_job.deadline;
  request.prefix_key = prefix_key;
  request.caller_gone = [this] { return m_sink.CallerGone(); };
  if (m_sink.Committed()) {
    request.pin = m_engine;
    request.deadline = std::min(request.deadline, start + kPinnedWait);
  }
  AcquireResult result = co_await m_job.session->Acquire(std::move(request));
  m_job.scope->OnWaited(m_services.clock.Now() - start);
  if (!result.placement) span.Fail("no grant");
  co_return result;
}

bool ChatRun::PrepareAssembler(const InstanceId& instance) {
  if (m_assembler.CanAttempt(instance)) return true;
  if (m_sink.Committed()) return false;
  // Another engine may word the answer differently.
  BeginAnew();
  return true;
}

double ChatRun::Random() {
  return std::uniform_real_distribution<double>(0, 1)(m_random);
}

void ChatRun::BeginAnew() {
  m_sink.Reset();
  m_assembler = StreamAssembler(m_job.generation, m_job.target, kMaxHeldFrames);
}

Awaitable<ChatRun::AttemptEnd> ChatRun::TryOn(const Placement& placement) {
  const DispatchGuard guard(*m_job.session, placement.dispatch);
  const TimeMs start = m_services.clock.Now();
  Span span = m_job.scope->StartSpan("worker.generate", SpanKind::kClient);
  span.Attribute("worker", placement.worker);
  const AttemptEnd end =
      co_await Attempt(placement, FormatTraceparent(span.context()));
  constexpr const char* kEndNames[] = {"answered", "failed", "cut"};
  const char* const name = kEndNames[static_cast<int>(end)];
  if (end != AttemptEnd::kWhole) span.Fail(name);
  m_job.scope->record().attempts.push_back(AttemptRecord{
      placement.worker.str(), name, m_services.clock.Now() - start});
  co_return end;
}

GenerateRequest ChatRun::NextAttempt(const InstanceId& instance) {
  m_attempt = m_attempt.Next();
  GenerateRequest generate;
  generate.request_id = m_job.generation;
  generate.attempt = static_cast<std::uint32_t>(m_attempt.value());
  generate.target = m_job.target;
  generate.prompt = m_prompt;
  generate.max_tokens = m_job.request.max_tokens;
  generate.priority = m_job.priority;
  generate.resume_from = static_cast<std::uint32_t>(
      m_assembler.StartAttempt(m_attempt, instance).value());
  return generate;
}

Awaitable<ChatRun::AttemptEnd> ChatRun::Attempt(const Placement& placement,
                                                std::string traceparent) {
  if (!PrepareAssembler(placement.instance)) co_return AttemptEnd::kVoid;
  const GenerateRequest generate = NextAttempt(placement.instance);
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/generate";
  request.headers.Add("traceparent", std::move(traceparent));
  request.body = EncodeGenerateRequest(generate);
  HttpCallOptions options;
  options.timeout = kHeaderTimeout;
  options.may_send = [this, dispatch = placement.dispatch] {
    return m_job.session->MaySend(dispatch);
  };
  const auto stream = co_await m_services.client.Open(
      placement.address, std::move(request), std::move(options));
  if (stream->progress() != HttpProgress::kAnswered) {
    m_dispatched |= stream->progress() == HttpProgress::kNoAnswer;
    LogEvent("attempt_failed", LogLevel::kWarning)
        .Field("request", m_job.id)
        .Field("worker", placement.worker)
        .Field("error", stream->error());
    co_return AttemptEnd::kRetry;
  }
  const int status = stream->head().status;
  if (status != kOk) co_return OnRefusal(placement, status, generate);
  m_dispatched = true;
  if (!m_job.session->ConfirmAccepted(placement.dispatch)) {
    CancelAt(placement.address);
    co_return AttemptEnd::kRetry;
  }
  OnAccepted(placement);
  co_return co_await ReadAnswer(placement, *stream);
}

ChatRun::AttemptEnd ChatRun::OnRefusal(const Placement& placement, int status,
                                       const GenerateRequest& generate) {
  switch (status) {
    case kBadRequest:
      // The stream is of another prompt: no further attempt can change that.
      return AttemptEnd::kVoid;
    case kConflict:
      m_job.session->OnNotResident(placement.dispatch);
      return AttemptEnd::kRetry;
    case kServiceUnavailable:
      m_job.session->OnWorkerLost(placement.worker);
      return AttemptEnd::kRetry;
    case kNotFound:
      if (generate.resume_from == 0) return AttemptEnd::kRetry;
      // The engine no longer has the stream that was to be resumed.
      if (m_sink.Committed()) return AttemptEnd::kVoid;
      BeginAnew();
      return AttemptEnd::kRetry;
    default:
      return AttemptEnd::kRetry;
  }
}

void ChatRun::OnAccepted(const Placement& placement) {
  m_engine = EnginePin{placement.worker, placement.instance};
  StreamHandle stream;
  stream.request = m_job.id;
  stream.generation = m_job.generation;
  stream.target = m_job.target;
  stream.worker = placement.worker;
  stream.instance = placement.instance;
  stream.attempt = m_attempt;
  m_sink.OnAttempt(stream);
}

Awaitable<ChatRun::AttemptEnd> ChatRun::ReadAnswer(const Placement& placement,
                                                   HttpResponseStream& stream) {
  SseParser parser;
  try {
    for (;;) {
      std::optional<std::string> piece = co_await stream.Read(kFrameTimeout);
      if (!piece) break;
      if (!co_await TakeFrames(std::move(*piece), parser)) {
        co_return AttemptEnd::kVoid;
      }
      if (m_assembler.Whole()) co_return AttemptEnd::kWhole;
      if (m_services.clock.Now() >= m_job.deadline) break;
    }
  } catch (...) {
    CancelAt(placement.address);
    throw;
  }
  if (m_services.clock.Now() >= m_job.deadline) CancelAt(placement.address);
  co_return AttemptEnd::kRetry;
}

Awaitable<bool> ChatRun::TakeFrames(std::string piece, SseParser& parser) {
  for (const SseEvent& event : parser.Feed(piece)) {
    const auto token = DecodeTokenEvent(event.data);
    if (!token) continue;
    const FrameVerdict verdict = m_assembler.OnFrame(ToFrame(*token));
    if (verdict == FrameVerdict::kMismatch || verdict == FrameVerdict::kVoid) {
      LogEvent("answer_mismatch", LogLevel::kError)
          .Field("request", m_job.id)
          .Field("wanted", m_job.target)
          .Field("got", token->target);
      co_return false;
    }
    std::uint64_t index = m_assembler.next().value();
    const std::vector<std::string> tokens = m_assembler.Take();
    for (const std::string& text : tokens) {
      m_job.scope->OnFirstToken();
      co_await m_sink.OnToken(text, TokenIndex(index));
      ++index;
    }
  }
  co_await m_sink.Flush();
  co_return true;
}

void ChatRun::CancelAt(const std::string& address) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/cancel";
  request.body =
      Json{{"request_id", m_job.generation}, {"attempt", m_attempt}}.dump();
  HttpCallOptions options;
  options.timeout = kCancelTimeout;
  m_services.pool.Spawn([&client = m_services.client, address,
                         request = std::move(request),
                         options]() -> Awaitable<void> {
    co_await client.Call(address, request, options);
  });
}

}  // namespace yuccamoor
