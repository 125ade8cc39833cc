/// \file
/// \brief Finds the route of a request by host and longest prefix.

#ifndef YUCCAMOOR_COORDINATION_FLEET_ROUTE_TABLE_H_
#define YUCCAMOOR_COORDINATION_FLEET_ROUTE_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "yuccamoor/state/fleet/fleet_config.h"

namespace yuccamoor::fleet {

/// The routes of one configuration. Immutable.
class RouteTable {
 public:
  explicit RouteTable(FleetConfig config);

  /// Returns the route of this host whose prefix is the longest that begins
  /// the path, or null. The host may carry a port and any case.
  const RouteSpec* Find(std::string_view host, std::string_view path) const;

  /// Returns the service of the route that the weights give to a request;
  /// \p ticket is any number that is spread evenly over requests.
  static const ServiceId& PickService(const RouteSpec& route,
                                      std::uint64_t ticket);

  const FleetConfig& config() const { return m_config; }

 private:
  FleetConfig m_config;
  // Per host, longest prefix first.
  std::map<std::string, std::vector<const RouteSpec*>, std::less<>> m_hosts;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_ROUTE_TABLE_H_
