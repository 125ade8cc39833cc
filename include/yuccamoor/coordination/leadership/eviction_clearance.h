/// \file
/// \brief What a leader's record lets it evict and grant on engines that ignore
/// fencing numbers.

#ifndef YUCCAMOOR_COORDINATION_LEADERSHIP_EVICTION_CLEARANCE_H_
#define YUCCAMOOR_COORDINATION_LEADERSHIP_EVICTION_CLEARANCE_H_

#include <set>

#include "yuccamoor/state/residency.h"

namespace yuccamoor {

/// The state of announced evictions, the leader's own and those of earlier
/// leaders.
struct EvictionClearance {
  /// Evictions that every record which may be in force lists.
  std::set<SlotKey> announced;
  /// Whether evictions may be ordered that no record lists: nobody takes over
  /// without knowing that there may be such.
  bool unlisted = false;
  /// Slots that an earlier leader may yet evict: they must not be used.
  std::set<SlotKey> barred;
  /// Whether an earlier leader may yet evict any slot that no gateway holds.
  bool all_barred = false;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_LEADERSHIP_EVICTION_CLEARANCE_H_
