/// \file
/// \brief Implementation of streamed answers.

#include "chat_stream.h"

#include <boost/system/system_error.hpp>
#include <stdexcept>
#include <utility>

#include "yuccamoor/protocol/sse.h"
#include "yuccamoor/transport/daemon/telemetry.h"
#include "yuccamoor/transport/gateway/api_response.h"
#include "yuccamoor/transport/http_server.h"

namespace yuccamoor {
namespace {

/// How long an answer is taken from the engine after its caller has gone.
constexpr DurationMs kCallerHold(10'000);

/// The caller has not reconnected within the hold.
class CallerGoneError : public std::runtime_error {
 public:
  CallerGoneError() : std::runtime_error("the caller has gone") {}
};

/// Ends an answer that is whole.
Awaitable<void> FinishWhole(const ChatJob& job, HttpExchange& exchange,
                            StreamSink& sink, std::uint32_t tokens) {
  co_await sink.Start();
  co_await sink.WriteData(EncodeChatEnd(job.id, job.target, tokens));
  co_await sink.WriteData(std::string(kChatDone));
  co_await exchange.FinishStream();
  job.scope->End(Outcome::kAnswered, 200, "");
}

/// Sends the rest of an answer that is held here.
Awaitable<void> SendHeld(const ChatJob& job, HttpExchange& exchange,
                         StreamSink& sink, ResumeAnswer rest) {
  TokenIndex index = rest.first;
  sink.OnAttempt(job.resume->stream);
  for (const std::string& token : rest.events) {
    co_await sink.OnToken(token, index);
    index = index.Next();
  }
  co_await sink.Flush();
  if (sink.left()) co_return;
  co_await FinishWhole(job, exchange, sink,
                       static_cast<std::uint32_t>(index.value()));
}

Awaitable<void> EndFailed(const ChatJob& job, HttpExchange& exchange,
                          StreamSink& sink, ApiError error) {
  if (sink.left()) co_return;
  job.scope->End(error.outcome, sink.started() ? 200 : error.status,
                 error.type);
  if (!sink.started()) {
    co_await SendError(exchange, std::move(error));
    co_return;
  }
  // The header has gone out: the error is an event, and the body is left
  // without its end, so that no client takes the answer for whole.
  co_await sink.WriteData(EncodeApiError(error));
}

}  // namespace

RequestId ResumeStore::KeyOf(const StreamHandle& stream) {
  return RequestId(stream.generation.str() + " " + stream.request.str() + " " +
                   stream.target.adapter.str() + " " +
                   stream.target.version.str());
}

StreamSink::StreamSink(const Clock& clock, ResumeStore& store,
                       const ChatJob& job, HttpExchange& exchange)
    : m_clock(clock),
      m_store(store),
      m_job(job),
      m_exchange(exchange),
      m_encoder(job.id, job.target) {}

void StreamSink::OnAttempt(const StreamHandle& stream) {
  m_encoded_stream = EncodeStreamHandle(stream);
  m_key = ResumeStore::KeyOf(stream);
  const TokenIndex first =
      m_job.resume ? m_job.resume->index.Next() : TokenIndex(0);
  m_store.Open(m_key, first);
}

Awaitable<void> StreamSink::OnToken(const std::string& token,
                                    TokenIndex index) {
  m_store.Append(m_key, index, token);
  if (left()) {
    if (HoldIsOver()) throw CallerGoneError();
    co_return;
  }
  SseEvent event;
  event.id = EncodeStreamEventId(m_encoded_stream, index);
  event.data = m_encoder.Encode(token);
  m_pending += EncodeSse(event);
}

Awaitable<void> StreamSink::Flush() {
  if (left() || m_pending.empty()) co_return;
  // Without an event no caller can name the stream, so that none comes back.
  co_await Start();
  const std::string events = std::exchange(m_pending, std::string());
  try {
    co_await m_exchange.Write(events);
  } catch (const boost::system::system_error&) {
    NoteLeft();
  }
}

Awaitable<void> StreamSink::WriteData(std::string data) {
  SseEvent event;
  event.data = std::move(data);
  co_await m_exchange.Write(EncodeSse(event));
}

bool StreamSink::CallerGone() {
  if (!left() && m_exchange.ClientGone()) NoteLeft();
  // Before the first event there is nothing to reconnect to.
  return left() && (!m_started || HoldIsOver());
}

void StreamSink::NoteLeft() {
  m_left_at = m_clock.Now();
  m_job.scope->End(Outcome::kUnknown, 200, "caller_gone");
}

bool StreamSink::HoldIsOver() const {
  return m_clock.Now() - *m_left_at >= kCallerHold;
}

Awaitable<void> StreamSink::Start() {
  if (m_started) co_return;
  HttpHeaders headers;
  headers.Add("Content-Type", "text/event-stream");
  headers.Add("Cache-Control", "no-store");
  headers.Add(kRequestIdHeader, m_job.id.str());
  co_await m_exchange.StartStream(200, std::move(headers));
  m_started = true;
}

Awaitable<void> AnswerStreamed(const ChatServices& services, ResumeStore& store,
                               const ChatJob& job, HttpExchange& exchange) {
  StreamSink sink(services.clock, store, job, exchange);
  if (job.resume) {
    ResumeAnswer rest = store.Resume(ResumeStore::KeyOf(job.resume->stream),
                                     job.resume->index.Next());
    if (rest.status == ResumeStatus::kOk && rest.whole) {
      co_await SendHeld(job, exchange, sink, std::move(rest));
      co_return;
    }
  }
  ChatRun run(services, job, sink);
  std::optional<ApiError> error = co_await run.Execute();
  if (error) {
    store.Drop(sink.key());
    co_await EndFailed(job, exchange, sink, std::move(*error));
    co_return;
  }
  // A caller that has missed the end gets it when it reconnects.
  store.Close(sink.key());
  if (sink.left()) co_return;
  co_await FinishWhole(job, exchange, sink, run.tokens());
}

}  // namespace yuccamoor
