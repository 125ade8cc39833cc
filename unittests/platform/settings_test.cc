/// \file
/// \brief Tests of the platform's settings file.

#include "platform/settings.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace yuccamoor::platform {
namespace {

constexpr char kSettings[] =
    "node-name=front-1\n"
    "zone=fes-a\n"
    "listen.front=10.1.0.38:8149\n"
    "listen.ready=10.1.0.38:8141\n"
    "port-range=7380,7395\n"
    "bootstrap=true\n"
    "bounds.grace-s=8\n"
    "bounds.drain-ms=2000\n"
    "bounds.config-apply-ms=3000\n"
    "bounds.retry-budget=0.2\n"
    "bounds.budget-window-s=10\n"
    "bounds.budget-slack=58\n"
    "bounds.lease-ttl-ms=3000\n"
    "platform.addr=10.200.1.7:8142\n"
    "something.new=1\n";

std::string Without(const std::string& name) {
  std::string text = kSettings;
  const std::size_t begin = text.find(name);
  text.erase(begin, text.find('\n', begin) + 1 - begin);
  return text;
}

}  // namespace

TEST_CASE("Settings are read, unknown names ignored", "[platform][settings]") {
  const auto settings = ParseSettings(kSettings, "boot.conf");
  REQUIRE(settings);
  const fleet::NodeSettings& s = settings.value();
  CHECK(s.node == NodeId("front-1"));
  CHECK(s.domain == FailureDomainId("fes-a"));
  CHECK(s.client_address == fleet::SocketAddress{"10.1.0.38", 8149});
  CHECK(s.peer_address == fleet::SocketAddress{"10.1.0.38", 7380});
  CHECK(s.metrics_address == fleet::SocketAddress{"10.1.0.38", 7381});
  CHECK(s.store_address == fleet::SocketAddress{"10.200.1.7", 8142});
  CHECK(s.first_start);
  CHECK(s.max_propagation_delay == DurationMs(2'000));
  CHECK(s.shutdown_grace == DurationMs(8'000));
  CHECK(s.retry_fraction == Approx(0.2));
  CHECK(s.retry_burst == 58);
}

TEST_CASE("The age of versions is read where a deployment bounds it",
          "[platform][settings][versions]") {
  const auto settings = ParseSettings(kSettings, "boot.conf");
  REQUIRE(settings);
  CHECK(settings.value().max_version_age == DurationMs(5'000));
  const std::string text = std::string(kSettings) + "bounds.version_ms=7000\n";
  const auto bounded = ParseSettings(text, "boot.conf");
  REQUIRE(bounded);
  CHECK(bounded.value().max_version_age == DurationMs(7'000));
  CHECK_FALSE(ParseSettings(std::string(kSettings) + "bounds.version_ms=no\n",
                            "boot.conf"));
}

TEST_CASE("Each missing setting is a finding that names it",
          "[platform][settings]") {
  for (const char* name :
       {"node-name", "zone", "listen.front", "listen.ready", "port-range",
        "bootstrap", "bounds.grace-s", "bounds.retry-budget", "platform.addr",
        "bounds.lease-ttl-ms"}) {
    CAPTURE(name);
    const auto settings = ParseSettings(Without(name), "boot.conf");
    REQUIRE_FALSE(settings);
    REQUIRE(settings.error().size() == 1);
    CHECK(settings.error().begin()->place.pointer == name);
    CHECK(settings.error().begin()->place.source == "boot.conf");
  }
}

TEST_CASE("Wrong values are found together, with their lines",
          "[platform][settings]") {
  std::string text = kSettings;
  text.replace(text.find("10.1.0.38:8149"), 14, "10.1.0.38:many");
  text.replace(text.find("7380,7395"), 9, "7395,7380");
  text.replace(text.find("grace-s=8"), 9, "grace-s=x");
  const auto settings = ParseSettings(text, "boot.conf");
  REQUIRE_FALSE(settings);
  CHECK(settings.error().size() == 3);
  CHECK(std::all_of(settings.error().begin(), settings.error().end(),
                    [](const Finding& f) { return f.place.line > 0; }));
}

TEST_CASE("A file that cannot be read is a finding", "[platform][settings]") {
  CHECK_FALSE(ReadSettings("/no/such/file"));
}

}  // namespace yuccamoor::platform
