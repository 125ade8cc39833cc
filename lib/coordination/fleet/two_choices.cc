#include "yuccamoor/coordination/fleet/two_choices.h"

#include <cstddef>

namespace yuccamoor::fleet {

std::vector<EndpointId> ChooseTwo(const std::vector<EndpointId>& engines,
                                  std::uint64_t random) {
  const std::size_t count = engines.size();
  if (count <= 2) return engines;
  const std::size_t first = random % count;
  const std::size_t step = 1 + random / count % (count - 1);
  return {engines[first], engines[(first + step) % count]};
}

}  // namespace yuccamoor::fleet
