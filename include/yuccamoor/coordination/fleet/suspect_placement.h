/// \file
/// \brief Chooses plain endpoints for requests under which endpoints have just
/// crashed.

#ifndef YUCCAMOOR_COORDINATION_FLEET_SUSPECT_PLACEMENT_H_
#define YUCCAMOOR_COORDINATION_FLEET_SUSPECT_PLACEMENT_H_

#include <optional>
#include <vector>

#include "yuccamoor/coordination/fleet/crash_quarantine.h"
#include "yuccamoor/coordination/fleet/endpoint_table.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor::fleet {

/// A request that is suspected.
struct SuspectQuery {
  ServiceId service;
  CrashSuspect request;
  /// Endpoints that the attempt has been sent to.
  std::vector<EndpointId> excluded;
};

struct SuspectPlacement {
  /// The service has one endpoint left, which is for other requests.
  bool keeps_back = false;
  /// The endpoint to use; nothing if any will do.
  std::optional<EndpointId> send_to;
};

/// Places a request by its recent crashes. All nodes choose the same endpoint
/// for it, so that they end one only if they send it at the same time. Once it
/// has ended two, it does not get the last one of several.
SuspectPlacement PlaceSuspect(const EndpointTable& table,
                              const CrashQuarantine& quarantine,
                              const SuspectQuery& query, TimeMs now);

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_SUSPECT_PLACEMENT_H_
