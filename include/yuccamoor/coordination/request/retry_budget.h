/// \file
/// \brief A retry budget: retries as a share of recent successes, so that
/// retries cannot multiply an overload.

#ifndef YUCCAMOOR_COORDINATION_REQUEST_RETRY_BUDGET_H_
#define YUCCAMOOR_COORDINATION_REQUEST_RETRY_BUDGET_H_

#include "yuccamoor/state/clock.h"

namespace yuccamoor {

/// The limits of a budget.
struct RetryBudgetOptions {
  /// Retries allowed per success.
  double share = 0.1;
  /// Retries allowed per second without any success.
  double min_per_second = 1;
  /// The most retries that can be saved up.
  double burst = 20;
};

/// The retry budget of one service at one gateway.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetOptions& options);

  /// Changes the limits at \p now. What was saved up stays, within the new
  /// ones.
  void SetOptions(const RetryBudgetOptions& options, TimeMs now);
  /// Notes a success, which earns a share of a retry.
  void OnSuccess(TimeMs now);
  /// Takes one retry; false if none is left.
  bool TryTake(TimeMs now);

  /// Retries that may be taken now.
  double available() const { return m_tokens; }

 private:
  void Refill(TimeMs now);

  RetryBudgetOptions m_options;
  double m_tokens;
  TimeMs m_refilled;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_REQUEST_RETRY_BUDGET_H_
