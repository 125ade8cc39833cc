/// \file
/// \brief Shards of keys and homes of shards, by hashes that are the same in
/// every process and release.

#include "yuccamoor/coordination/request/shard_home.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace yuccamoor {
namespace {

std::uint64_t Hash(std::string_view text, std::uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

}  // namespace

ShardNumber ShardOf(const IdempotencyKey& key, std::uint32_t shards) {
  return ShardNumber(Hash(key.str(), 0) % shards);
}

std::optional<NodeId> HomeOf(ShardNumber shard,
                             const std::vector<NodeId>& gateways) {
  const NodeId* home = nullptr;
  std::uint64_t highest = 0;
  for (const NodeId& gateway : gateways) {
    const std::uint64_t weight = Hash(gateway.str(), shard.value());
    if (home != nullptr && weight < highest) continue;
    if (home != nullptr && weight == highest && *home < gateway) continue;
    home = &gateway;
    highest = weight;
  }
  if (home == nullptr) return std::nullopt;
  return *home;
}

BodyHash HashRequest(std::string_view method, std::string_view target,
                     std::string_view body) {
  // Each hash seeds the next, so that no part can flow into its neighbour.
  return BodyHash(Hash(body, Hash(target, Hash(method, 0))));
}

}  // namespace yuccamoor
