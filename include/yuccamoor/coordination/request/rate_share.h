/// \file
/// \brief A service's rate limit divided among the live gateways, without a
/// message or a write per request.

#ifndef YUCCAMOOR_COORDINATION_REQUEST_RATE_SHARE_H_
#define YUCCAMOOR_COORDINATION_REQUEST_RATE_SHARE_H_

#include <cstddef>

#include "yuccamoor/state/clock.h"

namespace yuccamoor {

/// One gateway's share of one service's limit: a token bucket that fills at
/// limit / gateways. Fewer gateways count only after they were fewer for
/// `grow_delay`, since one that looks gone may still send; more count at once.
class RateShare {
 public:
  /// A limit of zero requests per second means no limit. The limit is divided
  /// by \p assumed gateways until the live ones are known.
  RateShare(double limit_per_second, std::size_t assumed,
            DurationMs grow_delay);

  /// Notes the number of live gateways, this one included.
  void OnGateways(std::size_t live, TimeMs now);
  /// Notes a new limit from the configuration.
  void SetLimit(double limit_per_second, TimeMs now);

  /// Takes one request; false if the share is used up.
  bool TryTake(TimeMs now);
  /// The wait until one request can be taken.
  DurationMs WaitTime(TimeMs now);

  /// Requests per second that this gateway may send now.
  double share() const;

 private:
  void Refill(TimeMs now);
  double Burst() const;

  double m_limit;
  DurationMs m_grow_delay;
  std::size_t m_gateways;
  bool m_known = false;
  std::size_t m_fewer = 0;
  TimeMs m_fewer_since;
  double m_tokens = 0;
  TimeMs m_refilled;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_REQUEST_RATE_SHARE_H_
