/// \file
/// \brief The idempotency shards of one gateway.

#include "yuccamoor/coordination/request/idempotency_table.h"

#include <algorithm>
#include <utility>

namespace yuccamoor {
namespace {

ShardOptions OptionsOf(const TableOptions& options, ShardNumber shard) {
  ShardOptions result = options.shard;
  result.record_key =
      options.record_prefix + "/" + std::to_string(shard.value());
  return result;
}

void Append(ShardNumber shard, ShardActions from, TableActions& to) {
  for (ShardAction& action : from) to.push_back({shard, std::move(action)});
}

}  // namespace

Result<std::unique_ptr<IdempotencyTable>> IdempotencyTable::Create(
    TableOptions options, ShardOwner owner, const ShardRecordCodec& codec) {
  Findings findings;
  if (options.shards == 0) findings.Add(Place{}, "a table needs a shard");
  const auto shard = IdempotencyShard::Create(
      OptionsOf(options, ShardNumber(0)), owner, codec);
  if (!shard) findings.Append(shard.error());
  if (!findings.empty()) return findings;
  return std::unique_ptr<IdempotencyTable>(
      new IdempotencyTable(std::move(options), std::move(owner), codec));
}

IdempotencyTable::IdempotencyTable(TableOptions options, ShardOwner owner,
                                   const ShardRecordCodec& codec)
    : m_options(std::move(options)),
      m_owner(std::move(owner)),
      m_codec(codec) {}

ShardNumber IdempotencyTable::ShardOfKey(const IdempotencyKey& key) const {
  return ShardOf(key, m_options.shards);
}

IdempotencyShard& IdempotencyTable::Open(ShardNumber shard, TimeMs now) {
  std::unique_ptr<IdempotencyShard>& open = m_open[shard];
  if (open) return *open;
  open = std::move(
      IdempotencyShard::Create(OptionsOf(m_options, shard), m_owner, m_codec)
          .value());
  // Nothing is read yet, so that this leads to no action.
  for (const auto& [node, up_to] : m_gone) {
    open->OnOwnerGone(node, up_to, now);
  }
  return *open;
}

TableActions IdempotencyTable::Begin(const ShardBegin& begin, TimeMs now) {
  const ShardNumber shard = ShardOfKey(begin.key);
  TableActions actions;
  Append(shard, Open(shard, now).Begin(begin, now), actions);
  return actions;
}

TableActions IdempotencyTable::Finish(const IdempotencyKey& key,
                                      Outcome outcome, StoredAnswer answer,
                                      TimeMs now) {
  const ShardNumber shard = ShardOfKey(key);
  TableActions actions;
  Append(shard, Open(shard, now).Finish(key, outcome, std::move(answer), now),
         actions);
  return actions;
}

TableActions IdempotencyTable::OnKvReply(ShardNumber shard,
                                         std::uint64_t number,
                                         const KvReply& reply, TimeMs now) {
  TableActions actions;
  const auto open = m_open.find(shard);
  if (open == m_open.end()) return actions;
  Append(shard, open->second->OnKvReply(number, reply, now), actions);
  return actions;
}

TableActions IdempotencyTable::OnOwnerGone(const NodeId& node,
                                           Incarnation up_to, TimeMs now) {
  Incarnation& known = m_gone[node];
  known = std::max(known, up_to);
  TableActions actions;
  for (const auto& [shard, open] : m_open) {
    Append(shard, open->OnOwnerGone(node, up_to, now), actions);
  }
  return actions;
}

TableActions IdempotencyTable::Tick(TimeMs now) {
  TableActions actions;
  for (const auto& [shard, open] : m_open) {
    if (open->NextTick(now) > now) continue;
    Append(shard, open->Tick(now), actions);
  }
  return actions;
}

bool IdempotencyTable::Idle() const {
  return std::all_of(m_open.begin(), m_open.end(),
                     [](const auto& item) { return item.second->Idle(); });
}

}  // namespace yuccamoor
