/// \file
/// \brief A retry budget as a token bucket.

#include "yuccamoor/coordination/request/retry_budget.h"

#include <algorithm>

namespace yuccamoor {
namespace {

constexpr double kMsPerSecond = 1'000;

}  // namespace

RetryBudget::RetryBudget(const RetryBudgetOptions& options)
    : m_options(options), m_tokens(options.burst) {}

void RetryBudget::Refill(TimeMs now) {
  if (now <= m_refilled) return;
  const auto elapsed = static_cast<double>((now - m_refilled).ms());
  m_refilled = now;
  m_tokens = std::min(m_options.burst, m_tokens + m_options.min_per_second *
                                                      elapsed / kMsPerSecond);
}

void RetryBudget::SetOptions(const RetryBudgetOptions& options, TimeMs now) {
  Refill(now);
  m_options = options;
  m_tokens = std::min(m_tokens, m_options.burst);
}

void RetryBudget::OnSuccess(TimeMs now) {
  Refill(now);
  m_tokens = std::min(m_options.burst, m_tokens + m_options.share);
}

bool RetryBudget::TryTake(TimeMs now) {
  Refill(now);
  if (m_tokens < 1) return false;
  m_tokens -= 1;
  return true;
}

}  // namespace yuccamoor
