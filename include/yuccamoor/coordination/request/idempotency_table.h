/// \file
/// \brief The idempotency shards of one gateway: routes keys to shards and
/// opens a shard when a key of it first arrives.

#ifndef YUCCAMOOR_COORDINATION_REQUEST_IDEMPOTENCY_TABLE_H_
#define YUCCAMOOR_COORDINATION_REQUEST_IDEMPOTENCY_TABLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "yuccamoor/coordination/request/idempotency_shard.h"
#include "yuccamoor/coordination/request/shard_home.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"
#include "yuccamoor/state/result.h"

namespace yuccamoor {

/// The limits of a table.
struct TableOptions {
  /// The records' keys are this, "/" and the shard's number.
  std::string record_prefix = "yuccamoor/idempotency";
  /// The same in every gateway, and for good.
  std::uint32_t shards = 8;
  /// Applies to each shard; its record key is ignored.
  ShardOptions shard;
};

/// A shard's action. A call's reply goes to OnKvReply with the same shard.
struct TableAction {
  ShardNumber shard;
  ShardAction action;
};
using TableActions = std::vector<TableAction>;

/// All shards as one gateway sees them. Not safe to use from several threads.
class IdempotencyTable {
 public:
  /// The codec outlives the table. Reports what IdempotencyShard::Create does,
  /// and a table without shards.
  static Result<std::unique_ptr<IdempotencyTable>> Create(
      TableOptions options, ShardOwner owner, const ShardRecordCodec& codec);

  ShardNumber ShardOfKey(const IdempotencyKey& key) const;

  /// As for a single shard.
  TableActions Begin(const ShardBegin& begin, TimeMs now);
  TableActions Finish(const IdempotencyKey& key, Outcome outcome,
                      StoredAnswer answer, TimeMs now);
  TableActions OnKvReply(ShardNumber shard, std::uint64_t number,
                         const KvReply& reply, TimeMs now);
  TableActions OnOwnerGone(const NodeId& node, Incarnation up_to, TimeMs now);
  TableActions Tick(TimeMs now);

  /// Whether no shard has anything waiting, running or to be written.
  bool Idle() const;

 private:
  IdempotencyTable(TableOptions options, ShardOwner owner,
                   const ShardRecordCodec& codec);

  IdempotencyShard& Open(ShardNumber shard, TimeMs now);

  const TableOptions m_options;
  const ShardOwner m_owner;
  const ShardRecordCodec& m_codec;
  std::map<ShardNumber, std::unique_ptr<IdempotencyShard>> m_open;
  /// Told to shards that are opened later. One entry per node.
  std::map<NodeId, Incarnation> m_gone;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_REQUEST_IDEMPOTENCY_TABLE_H_
