/// \file
/// \brief Lookups in a configuration snapshot.

#include "yuccamoor/state/config_snapshot.h"

#include <algorithm>
#include <cstdint>
#include <iterator>

#include "yuccamoor/state/stable_hash.h"

namespace yuccamoor {
namespace {

const AdapterVersion& PickTarget(const AliasConfig& alias,
                                 std::string_view caller_key) {
  std::uint64_t total = 0;
  for (const AliasTarget& t : alias.targets) total += t.weight;
  if (total == 0) return alias.targets.front().target;
  std::uint64_t point = StableHash(caller_key) % total;
  for (const AliasTarget& t : alias.targets) {
    if (point < t.weight) return t.target;
    point -= t.weight;
  }
  return alias.targets.back().target;
}

const AdapterConfig* FindInBuckets(const std::vector<AdapterBucket>& buckets,
                                   const AdapterId& id) {
  const std::uint64_t hash = StableBucketHash(id.str());
  const auto next =
      std::upper_bound(buckets.begin(), buckets.end(), hash,
                       [](std::uint64_t h, const AdapterBucket& bucket) {
                         return h < bucket.first_hash;
                       });
  if (next == buckets.begin()) return nullptr;
  const auto& sorted = *std::prev(next)->adapters;
  const auto it = std::lower_bound(
      sorted.begin(), sorted.end(), id,
      [](const AdapterConfig& a, const AdapterId& b) { return a.id < b; });
  return it != sorted.end() && it->id == id ? &*it : nullptr;
}

}  // namespace

const AdapterConfig* ConfigSnapshot::FindAdapter(const AdapterId& id) const {
  if (!adapter_buckets.empty()) return FindInBuckets(adapter_buckets, id);
  if (!adapters) return nullptr;
  const auto it = adapters->find(id);
  return it == adapters->end() ? nullptr : it->second.get();
}

const CellConfig* ConfigSnapshot::FindCell(const CellId& id) const {
  const auto it = cells.find(id);
  return it == cells.end() ? nullptr : it->second.get();
}

const ServiceConfig* ConfigSnapshot::FindService(const ServiceId& id) const {
  const auto it = services.find(id);
  return it == services.end() ? nullptr : it->second.get();
}

std::optional<AdapterVersion> ConfigSnapshot::Resolve(
    std::string_view model, std::string_view caller_key) const {
  const auto alias = aliases.find(model);
  if (alias != aliases.end() && !alias->second->targets.empty()) {
    return PickTarget(*alias->second, caller_key);
  }
  const std::size_t at = model.find('@');
  if (at == std::string_view::npos) return std::nullopt;
  AdapterVersion target{AdapterId(std::string(model.substr(0, at))),
                        VersionId(std::string(model.substr(at + 1)))};
  const AdapterConfig* adapter = FindAdapter(target.adapter);
  if (adapter == nullptr) return std::nullopt;
  const auto& versions = adapter->versions;
  if (std::find(versions.begin(), versions.end(), target.version) ==
      versions.end()) {
    return std::nullopt;
  }
  return target;
}

bool ConfigSnapshot::IsNonIdempotent(const ServiceConfig& service,
                                     std::string_view method,
                                     std::string_view path) {
  return std::any_of(
      service.non_idempotent.begin(), service.non_idempotent.end(),
      [&](const NonIdempotentCall& call) {
        return call.method == method &&
               path.substr(0, call.path_prefix.size()) == call.path_prefix;
      });
}

}  // namespace yuccamoor
