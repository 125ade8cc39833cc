/// \file
/// \brief Tests of lookups in a configuration snapshot.

#include "yuccamoor/state/config_snapshot.h"

#include <catch2/catch.hpp>

namespace yuccamoor {
namespace {

AdapterVersion Target(const char* adapter, const char* version) {
  return AdapterVersion{AdapterId(adapter), VersionId(version)};
}

ConfigSnapshot SnapshotWithAlias() {
  auto adapter = std::make_shared<AdapterConfig>();
  adapter->id = AdapterId("diary");
  adapter->versions = {VersionId("v1"), VersionId("v2")};
  auto adapters = std::make_shared<ConfigSnapshot::AdapterMap>();
  adapters->emplace(adapter->id, adapter);
  auto alias = std::make_shared<AliasConfig>();
  alias->name = "diary-canary";
  alias->targets = {{Target("diary", "v1"), 90}, {Target("diary", "v2"), 10}};
  ConfigSnapshot snapshot;
  snapshot.adapters = adapters;
  snapshot.aliases.emplace(alias->name, alias);
  return snapshot;
}

}  // namespace

TEST_CASE("Known versions resolve and unknown ones do not", "[config]") {
  const ConfigSnapshot snapshot = SnapshotWithAlias();
  CHECK(snapshot.Resolve("diary@v2", "") == Target("diary", "v2"));
  CHECK_FALSE(snapshot.Resolve("diary@v3", "").has_value());
  CHECK_FALSE(snapshot.Resolve("other@v1", "").has_value());
  CHECK_FALSE(snapshot.Resolve("diary", "").has_value());
}

TEST_CASE("An alias shares callers by weight and keeps each one's target",
          "[config]") {
  const ConfigSnapshot snapshot = SnapshotWithAlias();
  int canary = 0;
  constexpr int kCallers = 10'000;
  for (int i = 0; i < kCallers; ++i) {
    const std::string key = "caller-" + std::to_string(i);
    const auto target = snapshot.Resolve("diary-canary", key);
    REQUIRE(target == snapshot.Resolve("diary-canary", key));
    if (target == Target("diary", "v2")) ++canary;
  }
  CHECK(canary > kCallers / 20);
  CHECK(canary < kCallers * 3 / 20);
}

}  // namespace yuccamoor
