/// \file
/// \brief A token bucket whose rate and depth may change at any time.

#ifndef YUCCAMOOR_COORDINATION_QUOTA_QUOTA_BUCKET_H_
#define YUCCAMOOR_COORDINATION_QUOTA_QUOTA_BUCKET_H_

#include "yuccamoor/state/clock.h"

namespace yuccamoor::fleet {

/// Holds the credit of one tenant, in the units of its quota. What is taken
/// ahead of time makes the level negative.
class QuotaBucket {
 public:
  /// \p level is what the bucket holds at \p now.
  QuotaBucket(double level, TimeMs now)
      : m_level(level), m_depth(level), m_filled(now) {}

  /// Fills the bucket by the former rate up to \p now, and changes rate, in
  /// units per second, and depth, in units. What exceeds the depth is lost.
  void SetFlow(double rate_per_second, double depth, TimeMs now);
  void Take(double amount) { m_level -= amount; }
  /// The time until the bucket holds the amount; one hour at most.
  DurationMs TimeUntil(double amount) const;
  double level() const { return m_level; }
  double depth() const { return m_depth; }

 private:
  double m_level;
  double m_rate = 0;
  double m_depth;
  TimeMs m_filled;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_QUOTA_QUOTA_BUCKET_H_
