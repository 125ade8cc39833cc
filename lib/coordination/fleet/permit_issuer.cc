#include "yuccamoor/coordination/fleet/permit_issuer.h"

#include <cstdint>

#include "yuccamoor/state/stable_hash.h"

namespace yuccamoor::fleet {

std::optional<NodeId> PermitIssuerOf(const FleetView& view,
                                     const EndpointId& endpoint) {
  const auto holder = view.holders().find(endpoint);
  if (holder != view.holders().end() &&
      view.nodes().contains(holder->second.node)) {
    return holder->second.node;
  }
  std::optional<NodeId> issuer;
  std::uint64_t best = 0;
  for (const auto& [node, record] : view.nodes()) {
    const std::uint64_t score =
        StableBucketHash(endpoint.str() + "!" + node.str());
    if (issuer && score <= best) continue;
    issuer = node;
    best = score;
  }
  return issuer;
}

}  // namespace yuccamoor::fleet
