/// \file
/// \brief Finds the route of a request by host and longest prefix, and its
/// tenant by key.

#ifndef YUCCAMOOR_COORDINATION_FLEET_ROUTE_TABLE_H_
#define YUCCAMOOR_COORDINATION_FLEET_ROUTE_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "yuccamoor/state/fleet/fleet_config.h"

namespace yuccamoor::fleet {

/// Immutable lookup table of the routes of one configuration.
class RouteTable {
 public:
  explicit RouteTable(FleetConfig config);

  /// Returns the host's route with the longest prefix that matches \p path, or
  /// null if there is none. \p host may include a port and is matched without
  /// regard to case.
  const RouteSpec* Find(std::string_view host, std::string_view path) const;

  /// Returns the service of the route that serves a request, selected by
  /// weight. \p ticket is any number that is evenly distributed over requests.
  static const ServiceId& PickService(const RouteSpec& route,
                                      std::uint64_t ticket);

  /// Returns the tenant that the key names, or null.
  const TenantSpec* FindTenant(std::string_view key) const;
  /// Whether requests need a tenant's key, but for public routes.
  bool has_tenants() const { return !m_config.tenants.empty(); }

  /// Whether any tenant has a limit.
  bool has_quotas() const { return m_has_quotas; }

  const FleetConfig& config() const { return m_config; }

 private:
  FleetConfig m_config;
  bool m_has_quotas = false;
  // Routes by canonical host, longest prefix first.
  std::map<std::string, std::vector<const RouteSpec*>, std::less<>> m_hosts;
  std::unordered_map<std::string_view, const TenantSpec*> m_tenants_by_key;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_ROUTE_TABLE_H_
