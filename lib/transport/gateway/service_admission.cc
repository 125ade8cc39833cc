/// \file
/// \brief Which requests the proxy takes: finds the service, checks the key and
/// the rate.

#include <algorithm>
#include <utility>

#include "service_state.h"
#include "yuccamoor/coordination/request/shard_home.h"
#include "yuccamoor/protocol/api_error.h"
#include "yuccamoor/protocol/request/call_response.h"
#include "yuccamoor/transport/gateway/api_response.h"
#include "yuccamoor/transport/gateway/service_proxy.h"

namespace yuccamoor {
namespace {

constexpr int kServiceUnavailable = 503;

HttpResponse Refusal(int status, std::string type, std::string message,
                     Outcome outcome = Outcome::kNotRun,
                     DurationMs retry_after = DurationMs(0)) {
  ApiError error = MakeApiError(status, std::move(type), std::move(message));
  error.outcome = outcome;
  error.retry_after = retry_after;
  return ErrorResponse(error);
}

/// What a refusal before any dispatch says of the request. A repeat cannot
/// speak for earlier sendings that may wait elsewhere.
Outcome RefusedOutcome(bool repeat) {
  return repeat ? Outcome::kUnknown : Outcome::kNotRun;
}

/// Marks the refusal, so that a gateway that has forwarded the request serves
/// it.
HttpResponse NotTaken(HttpResponse refusal) {
  refusal.headers.Add(kNotTakenHeader, "true");
  return refusal;
}

bool IsRepeat(const HttpRequest& request) {
  return !request.headers.Find(kFirstSentAgoHeader).empty();
}

}  // namespace

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
      return NotTaken(
          Refusal(kServiceUnavailable, "not_ready", "no configuration is known",
                  RefusedOutcome(IsRepeat(request)), DurationMs(1'000)));
    }
    const auto it = m_config->services.find(service);
    if (it == m_config->services.end()) {
      return NotTaken(Refusal(404, "service_not_found",
                              "no such service: " + service.str(),
                              RefusedOutcome(IsRepeat(request))));
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
    return Refusal(400, "invalid_request",
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
    return Refusal(
        400, "invalid_request",
        std::string(kFirstSentAgoHeader) + " is not a number of milliseconds",
        Outcome::kUnknown);
  }
  if (job.spec.key.empty()) {
    return Refusal(
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
  return Refusal(429, "rate_limited", "the service's limit is used up",
                 RefusedOutcome(job.spec.first_sent_ago.has_value()),
                 job.state->share.WaitTime(now));
}

}  // namespace yuccamoor
