/// \file
/// \brief One caller.

#include "caller.h"

#include <cstdlib>
#include <utility>

#include "yuccamoor/protocol/chat_api.h"
#include "yuccamoor/protocol/json.h"
#include "yuccamoor/standins/answer_check.h"
#include "yuccamoor/transport/http_client.h"
#include "yuccamoor/transport/worker_pool.h"

namespace yuccamoor {
namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpTooMany = 429;
constexpr int kHttpUnavailable = 503;
constexpr DurationMs kPauseBeforeResend(100);
constexpr const char* kAnswered = "answered";
constexpr const char* kNoAnswer = "no_answer";

DurationMs RetryAfterOf(const HttpResponse& response) {
  constexpr std::int64_t kMsPerSecond = 1000;
  const std::string text(response.headers.Find("Retry-After"));
  const DurationMs wait(std::atoll(text.c_str()) * kMsPerSecond);
  return std::max(wait, kPauseBeforeResend);
}

/// Returns the outcome that the gateway states, or "refused" without one.
std::string OutcomeOf(const HttpResponse& response) {
  const std::string_view outcome = response.headers.Find("Yuccamoor-Outcome");
  return outcome.empty() ? "refused" : std::string(outcome);
}

bool MayRetryStatus(int status) {
  return status == kHttpTooMany || status == kHttpUnavailable;
}

std::string ContentOf(const PlannedCall& call) {
  return "question " + std::to_string(call.number);
}

}  // namespace

Caller::Caller(HttpClient& client, const Clock& clock, CallerOptions options,
               LoadReport& report)
    : m_client(client),
      m_clock(clock),
      m_options(std::move(options)),
      m_report(report) {}

Awaitable<void> Caller::Make(PlannedCall call, TimeMs planned) {
  CallResult result;
  result.kind = call.kind;
  const TimeMs first_sent = m_clock.Now();
  Sending sending;
  for (result.sendings = 1;; ++result.sendings) {
    const std::size_t gateway =
        (call.number + result.sendings) % m_options.gateways.size();
    const std::string address = m_options.gateways[gateway];
    if (call.kind == CallKind::kChat) {
      sending = co_await SendChat(address, call);
    } else {
      const DurationMs since_first = m_clock.Now() - first_sent;
      sending = co_await SendCharge(address, call, since_first);
    }
    if (!sending.again || result.sendings >= m_options.max_sendings) break;
    co_await SleepFor(sending.retry_after);
  }
  result.outcome = sending.outcome;
  result.first = sending.first - planned;
  result.whole = m_clock.Now() - planned;
  m_report.Add(result);
}

std::string Caller::KeyOf(const PlannedCall& call) const {
  return m_options.run + "-" + std::to_string(call.number);
}

HttpRequest Caller::ChatRequestOf(const PlannedCall& call) const {
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.headers.Add("Content-Type", "application/json");
  Json json = {{"model", call.target},
               {"stream", true},
               {"max_tokens", m_options.max_tokens}};
  json["messages"] =
      Json::array({{{"role", "user"}, {"content", ContentOf(call)}}});
  request.body = json.dump();
  return request;
}

Awaitable<Caller::Sending> Caller::SendChat(std::string gateway,
                                            PlannedCall call) {
  HttpCallOptions options;
  options.timeout = m_options.timeout;
  HttpRequest request = ChatRequestOf(call);
  const auto stream = co_await m_client.Open(
      std::move(gateway), std::move(request), std::move(options));
  Sending sending{kNoAnswer, true, kPauseBeforeResend, TimeMs()};
  if (stream->progress() != HttpProgress::kAnswered) co_return sending;
  if (stream->head().status != kHttpOk) {
    sending.outcome = OutcomeOf(stream->head());
    sending.again = MayRetryStatus(stream->head().status);
    sending.retry_after = RetryAfterOf(stream->head());
    co_return sending;
  }
  AnswerCheck check(call.target, "user: " + ContentOf(call),
                    m_options.max_tokens);
  while (auto piece = co_await stream->Read(m_options.timeout)) {
    check.Feed(*piece);
    if (sending.first == TimeMs() && check.started()) {
      sending.first = m_clock.Now();
    }
  }
  const AnswerFault fault = check.Finish(stream->whole());
  if (fault == AnswerFault::kCut) co_return sending;
  sending.again = false;
  sending.outcome = kAnswered;
  if (fault == AnswerFault::kNone) co_return sending;
  sending.outcome = "wrong_" + std::string(AnswerFaultName(fault));
  m_report.AddBreach("chat " + std::to_string(call.number) + ": " +
                     std::string(AnswerFaultName(fault)));
  co_return sending;
}

Awaitable<Caller::Sending> Caller::SendCharge(std::string gateway,
                                              PlannedCall call,
                                              DurationMs since_first) {
  HttpRequest request;
  request.method = "POST";
  request.target = m_options.charge_path;
  request.headers.Add("Idempotency-Key", KeyOf(call));
  if (since_first > DurationMs(0)) {
    request.headers.Add("Yuccamoor-First-Sent-Ago-Ms",
                        std::to_string(since_first.ms()));
  }
  request.body = R"({"amount":1})";
  HttpCallOptions options;
  options.timeout = m_options.timeout;
  const HttpReply reply = co_await m_client.Call(
      std::move(gateway), std::move(request), std::move(options));
  Sending sending{kNoAnswer, true, kPauseBeforeResend, m_clock.Now()};
  if (reply.progress != HttpProgress::kAnswered) co_return sending;
  sending.outcome = OutcomeOf(reply.response);
  sending.again = MayRetryStatus(reply.response.status);
  sending.retry_after = RetryAfterOf(reply.response);
  if (reply.response.status != kHttpOk) co_return sending;
  sending.again = false;
  const Json body = Json::parse(reply.response.body, nullptr, false);
  const bool own = body.is_object() && body.value("key", "") == KeyOf(call);
  if (own) co_return sending;
  sending.outcome = "wrong_key";
  m_report.AddBreach("charge " + KeyOf(call) + ": another's answer");
  co_return sending;
}

}  // namespace yuccamoor
