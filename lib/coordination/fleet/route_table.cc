#include "yuccamoor/coordination/fleet/route_table.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace yuccamoor::fleet {

namespace {

// Returns the host in lower case, without its port.
std::string CanonicalHost(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  for (char& c : name) {
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  }
  return name;
}

}  // namespace

RouteTable::RouteTable(FleetConfig config) : m_config(std::move(config)) {
  for (const RouteSpec& route : m_config.routes) {
    m_hosts[CanonicalHost(route.host)].push_back(&route);
  }
  for (auto& [host, routes] : m_hosts) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const RouteSpec* a, const RouteSpec* b) {
                       return a->prefix.size() > b->prefix.size();
                     });
  }
  for (const TenantSpec& tenant : m_config.tenants) {
    m_has_quotas = m_has_quotas || tenant.quota.is_limited();
    for (const std::string& key : tenant.keys) {
      // An empty key would name the tenant for requests without one.
      if (!key.empty()) m_tenants_by_key.emplace(key, &tenant);
    }
  }
}

const TenantSpec* RouteTable::FindTenant(std::string_view key) const {
  const auto it = m_tenants_by_key.find(key);
  return it == m_tenants_by_key.end() ? nullptr : it->second;
}

const RouteSpec* RouteTable::Find(std::string_view host,
                                  std::string_view path) const {
  const auto it = m_hosts.find(CanonicalHost(host));
  if (it == m_hosts.end()) return nullptr;
  for (const RouteSpec* route : it->second) {
    if (path.starts_with(route->prefix)) return route;
  }
  return nullptr;
}

const ServiceId& RouteTable::PickService(const RouteSpec& route,
                                         std::uint64_t ticket) {
  assert(!route.shares.empty() && "a route has a service");
  std::uint64_t total = 0;
  for (const TrafficShare& share : route.shares) total += share.weight;
  if (total == 0) return route.shares.front().service;
  std::uint64_t left = ticket % total;
  for (const TrafficShare& share : route.shares) {
    if (left < share.weight) return share.service;
    left -= share.weight;
  }
  return route.shares.back().service;
}

}  // namespace yuccamoor::fleet
