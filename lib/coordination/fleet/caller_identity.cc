#include "yuccamoor/coordination/fleet/caller_identity.h"

namespace yuccamoor::fleet {

CallerIdentity IdentifyCaller(const RouteTable& routes, const RouteSpec& route,
                              std::string_view key, bool is_current) {
  if (route.is_public || !routes.has_tenants()) return {};
  if (const TenantSpec* tenant = routes.FindTenant(key)) {
    return {CallerVerdict::kAllowed, tenant};
  }
  // No later configuration can give a tenant to a request without a key.
  const bool is_unknown = is_current || key.empty();
  return {is_unknown ? CallerVerdict::kUnknownKey
                     : CallerVerdict::kPerhapsUnknownKey,
          nullptr};
}

}  // namespace yuccamoor::fleet
