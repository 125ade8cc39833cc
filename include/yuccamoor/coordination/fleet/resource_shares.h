/// \file
/// \brief Shares the memory and the descriptors that a process may take up.

#ifndef YUCCAMOOR_COORDINATION_FLEET_RESOURCE_SHARES_H_
#define YUCCAMOOR_COORDINATION_FLEET_RESOURCE_SHARES_H_

#include <cstddef>

#include "yuccamoor/coordination/fleet/connection_budget.h"
#include "yuccamoor/coordination/fleet/message_budget.h"
#include "yuccamoor/state/fleet/node_settings.h"

namespace yuccamoor::fleet {

/// The share of each user of a node's memory and descriptors.
struct ResourceShares {
  /// What is kept for messages that have not ended.
  MessageBudgetOptions messages;
  /// Connections at the clients' address, and calls for them.
  ConnectionBudgetOptions clients;
  /// Connections at the readiness probe's address, and as many at the one of
  /// the metrics.
  ConnectionBudgetOptions status;
  /// Idle connections to endpoints.
  std::size_t max_idle_calls = 3'000;

  /// Returns the shares under these settings; the defaults where a bound is
  /// unknown.
  static ResourceShares For(const NodeSettings& settings);
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_RESOURCE_SHARES_H_
