/// \file
/// \brief Keeps one node's part of the retry budgets that all nodes share.
///
/// Load pattern: endpoints refuse many requests at once, and each node would
/// send these again. All nodes together may send a fraction of a service's
/// requests again, and a fixed number in each window beyond that.

#ifndef YUCCAMOOR_COORDINATION_FLEET_RETRY_BUDGETS_H_
#define YUCCAMOOR_COORDINATION_FLEET_RETRY_BUDGETS_H_

#include <cstdint>
#include <map>
#include <optional>

#include "yuccamoor/coordination/fleet/fleet_view.h"
#include "yuccamoor/coordination/fleet/registered_share.h"
#include "yuccamoor/coordination/request/retry_budget.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor::fleet {

/// The retries of one service that all nodes together may send.
struct RetryLimits {
  /// Retries for each request, in any window.
  double fraction = 0;
  /// Retries in each window in addition to these.
  double burst = 0;
  DurationMs window{10'000};
};

/// The retry budgets of one node, one for each service. The fraction needs no
/// agreement between nodes: each earns retries by its own requests. Of the
/// burst a node has the part that RegisteredShare gives it, which follows the
/// registered nodes. While it has no part, it sends only the retries that it
/// has earned.
class RetryBudgets {
 public:
  /// \p first_start tells that the whole fleet starts for the first time: no
  /// earlier process of this node can have used its part.
  RetryBudgets(NodeId self, const RetryLimits& limits, const ShareTimes& times,
               bool first_start);

  /// Takes up the registered nodes. \p current_at is the time as of which they
  /// are known to be all.
  void OnTick(const std::map<NodeId, NodeRecord>& nodes,
              const std::optional<TimeMs>& current_at, TimeMs now);
  /// Notes a request for the service, which earns a part of a retry.
  void OnRequest(const ServiceId& service, TimeMs now);
  /// Takes one retry; false if none is left.
  bool TryTake(const ServiceId& service, TimeMs now);

  /// Retries that this node may send in each window in addition to those that
  /// its requests earn.
  double own_burst() const { return m_own_burst; }

 private:
  RetryBudgetOptions Options() const;
  RetryBudget& BudgetOf(const ServiceId& service, TimeMs now);

  RetryLimits m_limits;
  bool m_first_start;
  RegisteredShare m_share;
  double m_own_burst = 0;
  std::optional<TimeMs> m_viewed;
  std::map<ServiceId, RetryBudget> m_budgets;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_RETRY_BUDGETS_H_
