/// \file
/// \brief Size limit of a small fleet.

#ifndef YUCCAMOOR_COORDINATION_FLEET_FLEET_SIZE_H_
#define YUCCAMOOR_COORDINATION_FLEET_FLEET_SIZE_H_

#include <cstddef>

namespace yuccamoor::fleet {

/// In fleets of up to this many nodes, each node notifies every other one
/// directly of single events. In larger fleets the traffic that a node sends
/// and receives has to stay bounded.
inline constexpr std::size_t kMaxSmallFleetNodes = 16;

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_FLEET_SIZE_H_
