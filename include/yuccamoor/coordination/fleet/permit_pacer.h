/// \file
/// \brief Spaces the requests to an endpoint by the limit that it names.

#ifndef YUCCAMOOR_COORDINATION_FLEET_PERMIT_PACER_H_
#define YUCCAMOOR_COORDINATION_FLEET_PERMIT_PACER_H_

#include <optional>

#include "yuccamoor/state/clock.h"

namespace yuccamoor::fleet {

/// The answer to a request for a permit to send one request.
struct PermitDecision {
  bool granted = false;
  /// If granted, when to send it; otherwise when the next permit is free.
  DurationMs wait{0};
};

/// Returns the permits per second for an endpoint that names this limit. Near
/// zero it is one in two seconds: only a response shows that the endpoint takes
/// more again.
double PermitRate(double limit_per_second);

/// Grants permits for one endpoint at a rate, by the generic cell rate
/// algorithm. Begins without any permit saved up, since another node may have
/// granted some just before.
class PermitPacer {
 public:
  /// Grants a permit that is free within \p max_wait, at \p per_second permits
  /// per second, which must be above zero.
  PermitDecision Request(double per_second, DurationMs max_wait, TimeMs now);
  /// The time until the next permit is free at that rate.
  DurationMs WaitTime(double per_second, TimeMs now);

 private:
  double EarliestMs(double interval_ms, TimeMs now);

  // When the permits granted so far are used up at the rate.
  std::optional<double> m_used_up_ms;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_PERMIT_PACER_H_
