/// \file
/// \brief Resolves a model name in a configuration snapshot, with no transport
/// linked in.

#include <iostream>
#include <memory>

#include "yuccamoor/state/config_snapshot.h"

int main() {
  using namespace yuccamoor;  // NOLINT(google-build-using-namespace)
  auto adapter = std::make_shared<AdapterConfig>();
  adapter->id = AdapterId("sleep-diary");
  adapter->versions = {VersionId("v3")};
  auto adapters = std::make_shared<ConfigSnapshot::AdapterMap>();
  adapters->emplace(adapter->id, adapter);
  ConfigSnapshot snapshot;
  snapshot.adapters = adapters;
  const auto target = snapshot.Resolve("sleep-diary@v3", "caller-1");
  if (!target) return 1;
  std::cout << *target << '\n';
  return 0;
}
