/// \file
/// \brief Which shard holds a key, and which gateway is the shard's home.

#ifndef YUCCAMOOR_COORDINATION_REQUEST_SHARD_HOME_H_
#define YUCCAMOOR_COORDINATION_REQUEST_SHARD_HOME_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "yuccamoor/coordination/request/idempotency_record.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor {

/// The number of one shard, from zero.
using ShardNumber = NumberId<struct ShardNumberTag>;

/// Returns the key's shard. All processes must agree on \p shards: with another
/// number a key would be looked for in another record.
ShardNumber ShardOf(const IdempotencyKey& key, std::uint32_t shards);

/// Returns the shard's home among the live gateways by rendezvous hashing, so
/// that a gateway that goes moves only its own shards; nothing if there is
/// none. Gateways that see different lists may name different homes: then
/// writes contend, and nothing else.
std::optional<NodeId> HomeOf(ShardNumber shard,
                             const std::vector<NodeId>& gateways);

/// Returns the hash by which a repeat is compared with the first sending.
BodyHash HashRequest(std::string_view method, std::string_view target,
                     std::string_view body);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_REQUEST_SHARD_HOME_H_
