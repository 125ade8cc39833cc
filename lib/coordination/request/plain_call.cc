/// \file
/// \brief One request to a plain service.

#include "yuccamoor/coordination/request/plain_call.h"

#include <algorithm>
#include <utility>

#include "yuccamoor/coordination/request/endpoint_set.h"
#include "yuccamoor/coordination/request/retry_budget.h"

namespace yuccamoor {
namespace {

constexpr DurationMs kNoEndpointRetryAfter{1'000};

}  // namespace

std::string_view CallErrorName(CallError error) {
  switch (error) {
    case CallError::kNone:
      return "none";
    case CallError::kMissingKey:
      return "missing_idempotency_key";
    case CallError::kShard:
      return "idempotency";
    case CallError::kNoEndpoint:
      return "no_endpoint";
    case CallError::kNotSent:
      return "not_sent";
    case CallError::kAnswerLost:
      return "answer_lost";
    case CallError::kDeadline:
      return "deadline_exceeded";
    case CallError::kCallerGone:
      break;
  }
  return "caller_gone";
}

PlainCall::PlainCall(PlainCallSpec spec, EndpointSet& endpoints,
                     RetryBudget& budget)
    : m_spec(std::move(spec)), m_endpoints(endpoints), m_budget(budget) {}

PlainSteps PlainCall::Start(double random, TimeMs now) {
  if (m_spec.idempotent) return TrySend(random, now);
  if (m_spec.key.empty()) {
    CallEnd end;
    end.outcome = Outcome::kNotRun;
    end.error = CallError::kMissingKey;
    return End(std::move(end), {});
  }
  BeginKeyStep step;
  step.begin.key = m_spec.key;
  step.begin.body_hash = m_spec.body_hash;
  step.begin.request = m_spec.request;
  step.begin.deadline = m_spec.deadline;
  step.begin.first_sent_ago = m_spec.first_sent_ago;
  return {std::move(step)};
}

PlainSteps PlainCall::OnDispatchRight(double random, TimeMs now) {
  m_holds_key = true;
  return TrySend(random, now);
}

PlainSteps PlainCall::OnReplay(const StoredAnswer& answer) {
  CallEnd end;
  end.outcome = Outcome::kAnswered;
  end.answer = answer;
  end.replayed = true;
  return End(std::move(end), {});
}

PlainSteps PlainCall::OnShardRefused(const ShardRefuse& refusal) {
  CallEnd end;
  end.outcome = refusal.outcome;
  end.error = CallError::kShard;
  end.shard = refusal.reason;
  end.retry_after = refusal.retry_after;
  return End(std::move(end), {});
}

PlainSteps PlainCall::TrySend(double random, TimeMs now) {
  CallEnd end;
  end.outcome = FailedOutcome();
  if (now >= m_spec.deadline) {
    end.error = CallError::kDeadline;
    return End(std::move(end), {});
  }
  const EndpointConfig* endpoint = m_endpoints.Pick(m_tried, random, now);
  if (endpoint == nullptr) {
    end.error = CallError::kNoEndpoint;
    end.retry_after = kNoEndpointRetryAfter;
    return End(std::move(end), {});
  }
  m_attempt = Attempt();
  m_number = m_number.Next();
  m_endpoint = endpoint->id;
  m_tried.push_back(endpoint->id);
  m_attempt_running = true;
  m_endpoints.OnStart(m_endpoint, now);
  SendStep step;
  step.attempt = m_number;
  step.endpoint = *endpoint;
  step.timeout = std::min(m_spec.attempt_timeout, m_spec.deadline - now);
  return {std::move(step)};
}

bool PlainCall::IsCurrent(AttemptNumber attempt) const {
  return !m_ended && m_attempt_running && attempt == m_number;
}

bool PlainCall::OnDispatch(AttemptNumber attempt, TimeMs now) {
  if (!IsCurrent(attempt) || now >= m_spec.deadline) return false;
  m_attempt.OnDispatch();
  return true;
}

PlainSteps PlainCall::OnAnswer(AttemptNumber attempt, StoredAnswer answer,
                               bool healthy, TimeMs now) {
  if (!IsCurrent(attempt)) return {};
  m_attempt.OnAnswer();
  m_attempt_running = false;
  m_endpoints.OnEnd(m_endpoint, healthy, now);
  if (healthy) m_budget.OnSuccess(now);
  CallEnd end;
  end.outcome = Outcome::kAnswered;
  end.answer = answer;
  return End(std::move(end), std::move(answer));
}

PlainSteps PlainCall::OnNotSent(AttemptNumber attempt, double random,
                                TimeMs now) {
  if (!IsCurrent(attempt)) return {};
  m_attempt.OnNotSent();
  return AfterFailure(CallError::kNotSent, random, now);
}

PlainSteps PlainCall::OnRefused(AttemptNumber attempt, double random,
                                TimeMs now) {
  if (!IsCurrent(attempt)) return {};
  m_attempt.OnRefused();
  return AfterFailure(CallError::kNotSent, random, now);
}

PlainSteps PlainCall::OnLost(AttemptNumber attempt, double random, TimeMs now) {
  if (!IsCurrent(attempt)) return {};
  m_attempt.OnLost();
  const bool sent = m_attempt.state() == AttemptState::kAnswerLost;
  return AfterFailure(sent ? CallError::kAnswerLost : CallError::kNotSent,
                      random, now);
}

PlainSteps PlainCall::AfterFailure(CallError error, double random, TimeMs now) {
  m_attempt_running = false;
  m_endpoints.OnEnd(m_endpoint, false, now);
  m_may_have_run |= m_attempt.outcome() == Outcome::kUnknown;
  RetryRule rule;
  rule.idempotent = m_spec.idempotent;
  rule.max_attempts = m_spec.max_attempts;
  const auto attempts = static_cast<std::uint32_t>(m_number.value());
  if (rule.MayRetry(m_attempt, attempts, m_spec.deadline, now, m_budget)) {
    return TrySend(random, now);
  }
  CallEnd end;
  end.outcome = FailedOutcome();
  end.error = now >= m_spec.deadline ? CallError::kDeadline : error;
  return End(std::move(end), {});
}

Outcome PlainCall::FailedOutcome() const {
  return m_may_have_run ? Outcome::kUnknown : Outcome::kNotRun;
}

PlainSteps PlainCall::OnCallerGone() {
  if (m_ended) return {};
  if (!m_spec.idempotent) return {};
  if (m_attempt_running) {
    m_endpoints.OnCancel(m_endpoint);
    m_may_have_run |= m_attempt.outcome() == Outcome::kUnknown;
  }
  CallEnd end;
  end.outcome = FailedOutcome();
  end.error = CallError::kCallerGone;
  return End(std::move(end), {});
}

PlainSteps PlainCall::End(CallEnd end, StoredAnswer answer) {
  m_ended = true;
  PlainSteps steps;
  if (m_holds_key) {
    FinishKeyStep finish;
    finish.key = m_spec.key;
    finish.outcome = end.outcome;
    finish.answer = std::move(answer);
    steps.emplace_back(std::move(finish));
  }
  // A repeat cannot speak for earlier sendings that may wait elsewhere.
  if (end.outcome == Outcome::kNotRun && m_spec.first_sent_ago) {
    end.outcome = Outcome::kUnknown;
  }
  steps.emplace_back(EndStep{std::move(end)});
  return steps;
}

}  // namespace yuccamoor
