#include "yuccamoor/coordination/fleet/retry_budgets.h"

#include <algorithm>
#include <utility>

namespace yuccamoor::fleet {

namespace {

// Requests that come at the end of one window may be sent again in the next
// one, which has fewer requests.
constexpr double kEarnedPart = 0.5;
// Of a node's burst, what it may save up. The rest refills in a window, so that
// no window sees more than the burst.
constexpr double kSavedPart = 0.5;
constexpr DurationMs kViewInterval{100};
constexpr double kMsPerSecond = 1'000;

}  // namespace

RetryBudgets::RetryBudgets(NodeId self, const RetryLimits& limits,
                           const ShareTimes& times, bool first_start)
    : m_limits(limits),
      m_first_start(first_start),
      m_share(std::move(self), times, first_start) {}

void RetryBudgets::OnTick(const std::map<NodeId, NodeRecord>& nodes,
                          const std::optional<TimeMs>& current_at, TimeMs now) {
  if (m_viewed && now - *m_viewed < kViewInterval) return;
  m_viewed = now;
  m_share.OnView(nodes, current_at, now);
  const double own_burst = m_limits.burst * m_share.Part(now);
  if (own_burst == m_own_burst) return;
  m_own_burst = own_burst;
  for (auto& [service, budget] : m_budgets) budget.SetOptions(Options(), now);
}

RetryBudgetOptions RetryBudgets::Options() const {
  RetryBudgetOptions options;
  options.share = m_limits.fraction * kEarnedPart;
  // Retries are taken whole: a smaller reserve would never yield one. So much
  // less refills.
  options.burst = std::max(m_own_burst * kSavedPart, 1.0);
  const double refill = std::max(m_own_burst - options.burst, 0.0);
  options.min_per_second =
      refill * kMsPerSecond / static_cast<double>(m_limits.window.ms());
  return options;
}

RetryBudget& RetryBudgets::BudgetOf(const ServiceId& service, TimeMs now) {
  const auto it = m_budgets.find(service);
  if (it != m_budgets.end()) return it->second;
  // An earlier process may just have used what the node had saved up.
  RetryBudgetOptions empty;
  empty.burst = m_first_start ? 1 : 0;
  empty.min_per_second = 0;
  RetryBudget& budget =
      m_budgets.emplace(service, RetryBudget(empty)).first->second;
  budget.SetOptions(Options(), now);
  return budget;
}

void RetryBudgets::OnRequest(const ServiceId& service, TimeMs now) {
  BudgetOf(service, now).OnSuccess(now);
}

bool RetryBudgets::TryTake(const ServiceId& service, TimeMs now) {
  return BudgetOf(service, now).TryTake(now);
}

}  // namespace yuccamoor::fleet
