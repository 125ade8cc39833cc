/// \file
/// \brief Selects the node that issues the permits for an endpoint's requests.

#ifndef YUCCAMOOR_COORDINATION_FLEET_PERMIT_ISSUER_H_
#define YUCCAMOOR_COORDINATION_FLEET_PERMIT_ISSUER_H_

#include <optional>

#include "yuccamoor/coordination/fleet/fleet_view.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor::fleet {

/// Returns the endpoint's holder, or the registered node that rendezvous
/// hashing selects if it has none. Nodes with the same view agree on it.
/// Nothing is returned if no node is registered.
std::optional<NodeId> PermitIssuerOf(const FleetView& view,
                                     const EndpointId& endpoint);

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_PERMIT_ISSUER_H_
