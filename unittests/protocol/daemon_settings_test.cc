/// \file
/// \brief Tests of the daemons' settings.

#include "yuccamoor/protocol/daemon_settings.h"

#include <catch2/catch.hpp>

namespace yuccamoor {

TEST_CASE("A gateway's settings are parsed", "[settings]") {
  const auto result = ParseGatewaySettings(
      R"({"node":"gw-1","vm":"vm-1","failure_domain":"fes-a",)"
      R"("listen":"127.0.0.1:8080","key_value_service":"127.0.0.1:7000",)"
      R"("peers":["127.0.0.1:1"],"shutdown_grace_ms":5000})",
      "gw.json");
  REQUIRE(result.has_value());
  CHECK(result.value().listen.port == 8080);
  CHECK(result.value().daemon.shutdown_grace == DurationMs(5'000));
  CHECK(result.value().daemon.peers.size() == 1);
}

TEST_CASE("Every wrong setting is reported at once", "[settings]") {
  const auto result = ParseSchedulerSettings(
      R"({"node":"","vm":7,"peer_listen":"127.0.0.1:70000",)"
      R"("key_value_service":"nowhere","threads":0,"policy":"best",)"
      R"("trace_file":"t","trace_collector":"127.0.0.1:4318","unknown":1})",
      "s.json");
  REQUIRE(result.has_error());
  std::vector<std::string> pointers;
  for (const Finding& finding : result.error()) {
    pointers.push_back(finding.place.pointer);
    CHECK(finding.place.source == "s.json");
  }
  CHECK(pointers == std::vector<std::string>{
                        "/node", "/vm", "/failure_domain", "/peer_listen",
                        "/key_value_service", "/threads", "/trace_collector",
                        "/policy", "/unknown"});
}

}  // namespace yuccamoor
