/// \file
/// \brief Decides by a request's key which tenant sends it, and whether it may
/// run.

#ifndef YUCCAMOOR_COORDINATION_FLEET_CALLER_IDENTITY_H_
#define YUCCAMOOR_COORDINATION_FLEET_CALLER_IDENTITY_H_

#include <cstdint>
#include <string_view>

#include "yuccamoor/coordination/fleet/route_table.h"

namespace yuccamoor::fleet {

enum class CallerVerdict : std::uint8_t {
  /// The request may run.
  kAllowed,
  /// No configuration in force holds the key.
  kUnknownKey,
  /// This node may not have learned yet of a configuration with the key.
  kPerhapsUnknownKey,
};

/// Who sends a request.
struct CallerIdentity {
  CallerVerdict verdict = CallerVerdict::kAllowed;
  /// Null for public routes, and where no tenants are configured. Valid as long
  /// as the routes.
  const TenantSpec* tenant = nullptr;
};

/// Identifies the sender of a request to \p route by its key, which is empty if
/// the request has none. \p is_current tells whether any key that is missing in
/// \p routes is known to be missing in the configuration in force.
CallerIdentity IdentifyCaller(const RouteTable& routes, const RouteSpec& route,
                              std::string_view key, bool is_current);

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_CALLER_IDENTITY_H_
