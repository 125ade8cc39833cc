/// \file
/// \brief Implementation of the shard host.

#include "yuccamoor/transport/gateway/shard_host.h"

#include <boost/asio/this_coro.hpp>
#include <utility>

#include "yuccamoor/coordination/key_value_service.h"
#include "yuccamoor/coordination/request/shard_home.h"
#include "yuccamoor/transport/async_event.h"

namespace yuccamoor {
namespace {

constexpr DurationMs kCallTimeout(1'000);
/// The shard itself ends each wait; this only bounds one sleep.
constexpr DurationMs kWakeInterval(1'000);

std::size_t IndexOf(const IdempotencyKey& key) {
  return ShardOf(key, ShardHost::kShardCount).value();
}

}  // namespace

Result<std::shared_ptr<ShardHost>> ShardHost::Create(KeyValueService& key_value,
                                                     const Clock& clock,
                                                     const ShardOwner& owner) {
  std::shared_ptr<ShardHost> host(new ShardHost(key_value, clock));
  for (std::size_t i = 0; i < kShardCount; ++i) {
    ShardOptions options;
    options.record_key = "yuccamoor/idempotency/" + std::to_string(i);
    auto shard =
        IdempotencyShard::Create(std::move(options), owner, host->m_codec);
    if (!shard) return shard.error();
    auto slot = std::make_unique<Slot>();
    slot->shard = std::move(shard).value();
    host->m_slots.push_back(std::move(slot));
  }
  return host;
}

ShardHost::ShardHost(KeyValueService& key_value, const Clock& clock)
    : m_key_value(key_value), m_clock(clock) {}

Awaitable<ShardVerdict> ShardHost::Begin(ShardBegin begin) {
  const auto self = shared_from_this();
  const std::size_t index = IndexOf(begin.key);
  Slot& slot = *m_slots[index];
  // Callers may use a request id for several sendings at once; the shard needs
  // one for each arrival.
  begin.request = RequestId(std::to_string(++m_arrivals));
  auto waiter = std::make_shared<Waiter>();
  waiter->event = AsyncEvent::Create(co_await asio::this_coro::executor);
  std::vector<ShardKvCall> calls;
  {
    const std::lock_guard lock(slot.mutex);
    slot.waiters.emplace(begin.request, waiter);
    calls = Deliver(slot, slot.shard->Begin(begin, m_clock.Now()));
  }
  SendCalls(index, std::move(calls));
  for (;;) {
    {
      const std::lock_guard lock(slot.mutex);
      if (waiter->verdict) co_return std::move(*waiter->verdict);
    }
    co_await waiter->event->WaitFor(kWakeInterval);
  }
}

void ShardHost::Finish(const IdempotencyKey& key, Outcome outcome,
                       StoredAnswer answer) {
  const std::size_t index = IndexOf(key);
  Slot& slot = *m_slots[index];
  std::vector<ShardKvCall> calls;
  {
    const std::lock_guard lock(slot.mutex);
    calls = Deliver(slot, slot.shard->Finish(key, outcome, std::move(answer),
                                             m_clock.Now()));
  }
  SendCalls(index, std::move(calls));
}

void ShardHost::OnOwnerGone(const NodeId& node, Incarnation up_to) {
  for (std::size_t i = 0; i < m_slots.size(); ++i) {
    Slot& slot = *m_slots[i];
    std::vector<ShardKvCall> calls;
    {
      const std::lock_guard lock(slot.mutex);
      calls =
          Deliver(slot, slot.shard->OnOwnerGone(node, up_to, m_clock.Now()));
    }
    SendCalls(i, std::move(calls));
  }
}

void ShardHost::Tick() {
  for (std::size_t i = 0; i < m_slots.size(); ++i) {
    Slot& slot = *m_slots[i];
    std::vector<ShardKvCall> calls;
    {
      const std::lock_guard lock(slot.mutex);
      const TimeMs now = m_clock.Now();
      if (slot.shard->NextTick(now) > now) continue;
      calls = Deliver(slot, slot.shard->Tick(now));
    }
    SendCalls(i, std::move(calls));
  }
}

bool ShardHost::Idle() const {
  for (const auto& slot : m_slots) {
    const std::lock_guard lock(slot->mutex);
    if (!slot->shard->Idle()) return false;
  }
  return true;
}

std::vector<ShardKvCall> ShardHost::Deliver(Slot& slot, ShardActions actions) {
  std::vector<ShardKvCall> calls;
  const auto wake = [&slot](auto&& verdict) {
    const auto it = slot.waiters.find(verdict.request);
    if (it == slot.waiters.end()) return;
    it->second->verdict = std::forward<decltype(verdict)>(verdict);
    it->second->event->Notify();
    slot.waiters.erase(it);
  };
  for (ShardAction& action : actions) {
    if (auto* call = std::get_if<ShardKvCall>(&action)) {
      calls.push_back(std::move(*call));
    } else if (auto* dispatch = std::get_if<ShardDispatch>(&action)) {
      wake(std::move(*dispatch));
    } else if (auto* replay = std::get_if<ShardReplay>(&action)) {
      wake(std::move(*replay));
    } else if (auto* refuse = std::get_if<ShardRefuse>(&action)) {
      wake(std::move(*refuse));
    }
  }
  return calls;
}

void ShardHost::SendCalls(std::size_t index, std::vector<ShardKvCall> calls) {
  for (ShardKvCall& call : calls) {
    m_key_value.Call(std::move(call.request), kCallTimeout,
                     [self = shared_from_this(), index,
                      number = call.number](const KvReply& reply) {
                       Slot& slot = *self->m_slots[index];
                       std::vector<ShardKvCall> more;
                       {
                         const std::lock_guard lock(slot.mutex);
                         more = Deliver(
                             slot, slot.shard->OnKvReply(number, reply,
                                                         self->m_clock.Now()));
                       }
                       self->SendCalls(index, std::move(more));
                     });
  }
}

}  // namespace yuccamoor
