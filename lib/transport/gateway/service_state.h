/// \file
/// \brief What a gateway knows of one plain service.

#ifndef YUCCAMOOR_LIB_TRANSPORT_GATEWAY_SERVICE_STATE_H_
#define YUCCAMOOR_LIB_TRANSPORT_GATEWAY_SERVICE_STATE_H_

#include <cstddef>

#include "yuccamoor/coordination/request/endpoint_set.h"
#include "yuccamoor/coordination/request/rate_share.h"
#include "yuccamoor/coordination/request/retry_budget.h"
#include "yuccamoor/transport/gateway/service_proxy.h"

namespace yuccamoor {

/// What the gateway knows of one service. Guarded by the proxy's mutex.
struct ServiceProxy::ServiceState {
  static constexpr std::size_t kGatewaysAssumed = 2;
  static constexpr DurationMs kShareGrowDelay{5'000};

  ServiceState(const EndpointTracker& tracker, double limit)
      : endpoints(tracker, CircuitOptions()),
        budget(RetryBudgetOptions()),
        share(limit, kGatewaysAssumed, kShareGrowDelay) {}

  EndpointSet endpoints;
  RetryBudget budget;
  RateShare share;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_LIB_TRANSPORT_GATEWAY_SERVICE_STATE_H_
