/// \file
/// \brief What counts as a small fleet.

#ifndef YUCCAMOOR_COORDINATION_FLEET_FLEET_SIZE_H_
#define YUCCAMOOR_COORDINATION_FLEET_FLEET_SIZE_H_

#include <cstddef>

namespace yuccamoor::fleet {

/// In fleets up to this size, nodes tell each other single events, each node
/// directly; in larger ones what a node hears and sends has to stay bounded.
inline constexpr std::size_t kMaxSmallFleetNodes = 16;

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_FLEET_SIZE_H_
