/// \file
/// \brief Chooses two engines at random, of which the less loaded one is rarely
/// a busy one.

#ifndef YUCCAMOOR_COORDINATION_FLEET_TWO_CHOICES_H_
#define YUCCAMOOR_COORDINATION_FLEET_TWO_CHOICES_H_

#include <cstdint>
#include <vector>

#include "yuccamoor/state/ids.h"

namespace yuccamoor::fleet {

/// Returns two different engines of the list, or the whole list if it has no
/// more. \p random decides which, and should be uniform over requests.
std::vector<EndpointId> ChooseTwo(const std::vector<EndpointId>& engines,
                                  std::uint64_t random);

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_TWO_CHOICES_H_
