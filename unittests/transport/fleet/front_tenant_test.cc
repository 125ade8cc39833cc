/// \file
/// \brief Tests of requests that name their tenant by a key.

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "transport/fleet/front_texts.h"
#include "transport/fleet/front_world.h"

namespace yuccamoor::fleet {
namespace {

std::vector<TenantSpec> TenantsWith(const std::string& key) {
  TenantSpec shop;
  shop.tenant = TenantId("shop");
  shop.keys = {key};
  return {shop};
}

// Returns a request with the path and header lines.
std::string TextWith(const std::string& path, const std::string& lines) {
  std::string request = RequestText(path);
  request.insert(request.find("\r\n") + 2, lines);
  return request;
}

std::string StatusLine(const std::string& answer) {
  return answer.substr(0, answer.find("\r\n"));
}

}  // namespace

// Workers got the callers' keys, and whatever tenant callers claimed to be.
TEST_CASE("An endpoint is told the key's tenant and not the key",
          "[fleet][front][tenants]") {
  FrontWorld world({kOk}, {kOk});
  world.SetTenants(TenantsWith("k1"));
  const std::string got = world.Exchange(
      TextWith("/unsafe/x", "Api-Key: k1\r\nTenant: other\r\n"), "body");
  CHECK(Contains(got, "200 OK"));
  REQUIRE(world.requests_run() == 1);
  const auto& run = world.first().requests().empty() ? world.second().requests()
                                                     : world.first().requests();
  CHECK(Contains(run[0], "Tenant: shop\r\n"));
  CHECK_FALSE(Contains(run[0], "k1"));
  CHECK_FALSE(Contains(run[0], "other"));
}

// Requests ran with keys that no configuration held.
TEST_CASE("A request with an unknown key is refused and not run",
          "[fleet][front][tenants]") {
  FrontWorld world({kOk}, {kOk});
  world.SetTenants(TenantsWith("k1"));
  for (const char* lines :
       {"Api-Key: k2\r\n", "Api-Key: k1 \r\nApi-Key: k1\r\n", "",
        "Api-Key:\r\n", "Tenant: shop\r\n"}) {
    CAPTURE(lines);
    CHECK(
        StatusLine(world.Exchange(TextWith("/unsafe/x", lines), "\r\n\r\n")) ==
        "HTTP/1.1 401 Unauthorized");
  }
  CHECK(world.requests_run() == 0);
}

// A node that had lost the store told callers that their new keys were wrong,
// which they take as final.
TEST_CASE("A key that this node may have missed is not called wrong",
          "[fleet][front][tenants]") {
  FrontWorld world({kOk}, {kOk});
  world.SetTenants(TenantsWith("k1"));
  world.LoseStore();
  CHECK(Contains(
      world.Exchange(TextWith("/unsafe/x", "Api-Key: k2\r\n"), "\r\n\r\n"),
      "503 Service"));
  CHECK(Contains(world.Exchange(TextWith("/unsafe/x", ""), "\r\n\r\n"),
                 "401 Unauthorized"));
  CHECK(Contains(world.Exchange(RequestText("/none/x"), "\r\n\r\n"),
                 "503 Service"));
  CHECK(
      Contains(world.Exchange(TextWith("/unsafe/x", "Api-Key: k1\r\n"), "body"),
               "200 OK"));
}

TEST_CASE("A public route needs no key and names no tenant",
          "[fleet][front][tenants]") {
  FrontWorld world({kOk}, {kOk});
  world.SetTenants(TenantsWith("k1"));
  CHECK(
      Contains(world.Exchange(TextWith("/safe/x", "Tenant: shop\r\n"), "body"),
               "200 OK"));
  REQUIRE(world.requests_run() == 1);
  const auto& run = world.first().requests().empty() ? world.second().requests()
                                                     : world.first().requests();
  CHECK_FALSE(Contains(run[0], "Tenant:"));
}

// A request that waited for an endpoint ran after its key had been removed.
TEST_CASE("A request whose key is removed while it waits is not run",
          "[fleet][front][tenants]") {
  FrontWorld world({kOk}, {kOk});
  world.SetTenants(TenantsWith("k1"));
  world.PauseBoth(DurationMs(150));
  world.After(DurationMs(30), [&] { world.SetTenants(TenantsWith("k2")); });
  const std::string got =
      world.Exchange(TextWith("/unsafe/x", "Api-Key: k1\r\n"), "\r\n\r\n");
  CHECK(StatusLine(got) == "HTTP/1.1 401 Unauthorized");
  CHECK(world.requests_run() == 0);
}

}  // namespace yuccamoor::fleet
