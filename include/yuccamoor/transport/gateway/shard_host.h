/// \file
/// \brief Runs the idempotency shards of one gateway: carries their calls, and
/// wakes the requests that wait for a shard's word.

#ifndef YUCCAMOOR_TRANSPORT_GATEWAY_SHARD_HOST_H_
#define YUCCAMOOR_TRANSPORT_GATEWAY_SHARD_HOST_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <variant>
#include <vector>

#include "yuccamoor/coordination/request/idempotency_shard.h"
#include "yuccamoor/protocol/request/shard_record_codec.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/transport/asio.h"

namespace yuccamoor {

class AsyncEvent;
class KeyValueService;

/// How a shard answers one request.
using ShardVerdict = std::variant<ShardDispatch, ShardReplay, ShardRefuse>;

/// All shards of one gateway. Safe to use from several threads; a shard's mutex
/// is a leaf of the lock order, and no call leaves the process while it is
/// held.
class ShardHost : public std::enable_shared_from_this<ShardHost> {
 public:
  /// The number of shards that keys are divided over; the same everywhere.
  static constexpr std::uint32_t kShardCount = 8;

  /// The services must outlive the host.
  static Result<std::shared_ptr<ShardHost>> Create(KeyValueService& key_value,
                                                   const Clock& clock,
                                                   const ShardOwner& owner);

  /// Waits for the shard's word on the request. The request's id need not be
  /// unique; the verdict names the arrival by another one.
  Awaitable<ShardVerdict> Begin(ShardBegin begin);
  /// Tells the shard how a dispatched request ended.
  void Finish(const IdempotencyKey& key, Outcome outcome, StoredAnswer answer);

  /// Notes that a gateway's process has ended for good.
  void OnOwnerGone(const NodeId& node, Incarnation up_to);

  /// Does what is due. Called every few milliseconds.
  void Tick();

  /// Whether nothing waits, runs or is still to be written.
  bool Idle() const;

 private:
  /// A request that waits in Begin.
  struct Waiter {
    std::shared_ptr<AsyncEvent> event;
    std::optional<ShardVerdict> verdict;
  };
  struct Slot {
    mutable std::mutex mutex;
    std::unique_ptr<IdempotencyShard> shard;
    std::unordered_map<RequestId, std::shared_ptr<Waiter>> waiters;
  };

  ShardHost(KeyValueService& key_value, const Clock& clock);

  /// Hands verdicts to their waiters and returns the calls to be made. Called
  /// with the slot's mutex held.
  static std::vector<ShardKvCall> Deliver(Slot& slot, ShardActions actions);
  void SendCalls(std::size_t index, std::vector<ShardKvCall> calls);

  KeyValueService& m_key_value;
  const Clock& m_clock;
  JsonShardRecordCodec m_codec;
  std::vector<std::unique_ptr<Slot>> m_slots;
  std::atomic<std::uint64_t> m_arrivals{0};
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_GATEWAY_SHARD_HOST_H_
