/// \file
/// \brief How a request ends, and the life of one attempt at an endpoint from
/// which its outcome follows.

#ifndef YUCCAMOOR_COORDINATION_REQUEST_OUTCOME_H_
#define YUCCAMOOR_COORDINATION_REQUEST_OUTCOME_H_

#include <cstdint>
#include <string_view>

#include "yuccamoor/state/clock.h"

namespace yuccamoor {

/// The end of a request as it is told to the caller.
enum class Outcome : std::uint8_t {
  /// An endpoint answered; the answer is whole.
  kAnswered,
  /// No endpoint ran it or will run it; safe to send again.
  kNotRun,
  /// It may have run. A non-idempotent request must not be sent as new.
  kUnknown,
};

/// Returns the outcome's name on the wire: "answered", "not_run", "unknown".
std::string_view OutcomeName(Outcome outcome);

/// Where one attempt stands.
enum class AttemptState : std::uint8_t {
  kCreated,
  /// The first byte may have been written.
  kDispatched,
  kAnswered,
  /// The connection failed before the first byte.
  kNotSent,
  /// The endpoint stated that it did not run the request.
  kRefused,
  /// Dispatched, and no whole answer came.
  kAnswerLost,
};

/// One attempt at one endpoint. An event that does not fit the state throws
/// std::logic_error, since the outcome would no longer be certain.
class Attempt {
 public:
  /// The first byte may be written from now on. Called before the write.
  void OnDispatch();
  /// The whole answer was received.
  void OnAnswer();
  /// No byte was written, nor will be.
  void OnNotSent();
  /// The endpoint stated that it did not run the request.
  void OnRefused();
  /// The connection broke, the deadline passed, or the answer was not whole.
  /// Before a dispatch this is the same as OnNotSent.
  void OnLost();

  AttemptState state() const { return m_state; }
  bool Ended() const { return m_state > AttemptState::kDispatched; }
  /// What the attempt allows to be said of the request so far.
  Outcome outcome() const;

 private:
  void Move(AttemptState from, AttemptState to);

  AttemptState m_state = AttemptState::kCreated;
};

class RetryBudget;

/// Whether a request may be tried once more.
struct RetryRule {
  bool idempotent = true;
  std::uint32_t max_attempts = 3;
  /// Least time before the deadline for which another attempt is worth it.
  DurationMs min_time_left{20};

  /// Decides after the given attempt, the \p attempts-th. A non-idempotent
  /// request is tried again only if no byte of it was written. Takes a token
  /// from the budget if it allows the retry.
  bool MayRetry(const Attempt& last, std::uint32_t attempts, TimeMs deadline,
                TimeMs now, RetryBudget& budget) const;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_REQUEST_OUTCOME_H_
