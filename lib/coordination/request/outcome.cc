/// \file
/// \brief The life of one attempt and the rule of retries.

#include "yuccamoor/coordination/request/outcome.h"

#include <stdexcept>

#include "yuccamoor/coordination/request/retry_budget.h"

namespace yuccamoor {

std::string_view OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kUnknown:
      break;
  }
  return "unknown";
}

void Attempt::Move(AttemptState from, AttemptState to) {
  if (m_state != from) {
    throw std::logic_error("event does not fit the attempt's state");
  }
  m_state = to;
}

void Attempt::OnDispatch() {
  Move(AttemptState::kCreated, AttemptState::kDispatched);
}

void Attempt::OnAnswer() {
  Move(AttemptState::kDispatched, AttemptState::kAnswered);
}

void Attempt::OnNotSent() {
  Move(AttemptState::kCreated, AttemptState::kNotSent);
}

void Attempt::OnRefused() {
  Move(AttemptState::kDispatched, AttemptState::kRefused);
}

void Attempt::OnLost() {
  if (m_state == AttemptState::kCreated) return OnNotSent();
  Move(AttemptState::kDispatched, AttemptState::kAnswerLost);
}

Outcome Attempt::outcome() const {
  switch (m_state) {
    case AttemptState::kAnswered:
      return Outcome::kAnswered;
    case AttemptState::kCreated:
    case AttemptState::kNotSent:
    case AttemptState::kRefused:
      return Outcome::kNotRun;
    case AttemptState::kDispatched:
    case AttemptState::kAnswerLost:
      break;
  }
  return Outcome::kUnknown;
}

bool RetryRule::MayRetry(const Attempt& last, std::uint32_t attempts,
                         TimeMs deadline, TimeMs now,
                         RetryBudget& budget) const {
  if (!last.Ended() || last.state() == AttemptState::kAnswered) return false;
  if (!idempotent && last.state() != AttemptState::kNotSent) return false;
  if (attempts >= max_attempts) return false;
  if (deadline - now < min_time_left) return false;
  return budget.TryTake(now);
}

}  // namespace yuccamoor
