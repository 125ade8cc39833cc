/// \file
/// \brief Tests of routes by host and longest prefix.

#include "yuccamoor/coordination/fleet/route_table.h"

#include <catch2/catch.hpp>
#include <map>

namespace yuccamoor::fleet {
namespace {

RouteSpec Route(const std::string& host, const std::string& prefix,
                const std::string& service) {
  RouteSpec route;
  route.name = service;
  route.host = host;
  route.prefix = prefix;
  route.shares = {{ServiceId(service), 1}};
  return route;
}

RouteTable Table() {
  FleetConfig config;
  config.routes = {
      Route("a.example", "/", "root"), Route("a.example", "/x/", "short"),
      Route("a.example", "/x/y/", "long"), Route("b.example", "/x/", "other")};
  return RouteTable(config);
}

}  // namespace

TEST_CASE("The longest prefix of the host wins", "[fleet][route]") {
  const RouteTable table = Table();
  CHECK(table.Find("a.example", "/x/y/z")->name == "long");
  CHECK(table.Find("a.example", "/x/yz")->name == "short");
  CHECK(table.Find("a.example", "/else")->name == "root");
  CHECK(table.Find("b.example", "/x/y/")->name == "other");
  CHECK(table.Find("b.example", "/y/") == nullptr);
  CHECK(table.Find("c.example", "/x/") == nullptr);
}

TEST_CASE("A host matches with a port and in any case", "[fleet][route]") {
  const RouteTable table = Table();
  CHECK(table.Find("A.Example:8080", "/x/y/")->name == "long");
}

TEST_CASE("Shares split requests by weight", "[fleet][route]") {
  RouteSpec route = Route("a.example", "/", "s1");
  route.shares = {{ServiceId("s1"), 90}, {ServiceId("s2"), 10}};
  std::map<ServiceId, int> counts;
  for (std::uint64_t ticket = 0; ticket < 1'000; ++ticket) {
    ++counts[RouteTable::PickService(route, ticket)];
  }
  CHECK(counts[ServiceId("s1")] == 900);
  CHECK(counts[ServiceId("s2")] == 100);
}

}  // namespace yuccamoor::fleet
