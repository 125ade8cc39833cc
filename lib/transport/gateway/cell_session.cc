/// \file
/// \brief Implementation of the gateway's cell session.

#include "yuccamoor/transport/gateway/cell_session.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <utility>

#include "yuccamoor/coordination/key_value_service.h"
#include "yuccamoor/coordination/peer_channel.h"
#include "yuccamoor/protocol/leadership_codec.h"
#include "yuccamoor/protocol/residency_codec.h"
#include "yuccamoor/transport/async_event.h"
#include "yuccamoor/transport/worker_pool.h"

namespace yuccamoor {
namespace {

constexpr DurationMs kSyncTimeout(500);
constexpr DurationMs kLookupTimeout(500);
constexpr DurationMs kLookupInterval(250);
constexpr DurationMs kCallerCheckInterval(500);

}  // namespace

Result<std::shared_ptr<CellSession>> CellSession::Create(
    CellSessionServices services, ResidencyClientOptions options,
    std::string reply_to) {
  const CellId cell = options.cell;
  auto client = ResidencyClient::Create(std::move(options));
  if (!client) return client.error();
  return std::shared_ptr<CellSession>(new CellSession(
      services, std::move(client).value(), cell, std::move(reply_to)));
}

CellSession::CellSession(CellSessionServices services, ResidencyClient client,
                         CellId cell, std::string reply_to)
    : m_services(services),
      m_cell(std::move(cell)),
      m_reply_to(std::move(reply_to)),
      m_client(std::move(client)) {}

Awaitable<AcquireResult> CellSession::Acquire(AcquireRequest request) {
  const auto self = shared_from_this();
  auto caller = std::make_shared<Caller>();
  caller->request = std::move(request);
  caller->event = AsyncEvent::Create(co_await asio::this_coro::executor);
  const AdapterVersion& target = caller->request.target;
  std::optional<WaiterId> waiter;
  AcquireResult result;
  {
    const std::lock_guard lock(m_mutex);
    result = TryNow(caller->request);
    if (result.placement || result.engine_lost) co_return result;
    waiter =
        m_client.AddWaiter(target, caller->request.priority,
                           caller->request.deadline, m_services.clock.Now());
    if (waiter) m_callers[target].push_back(caller);
  }
  if (!waiter) {
    result.refusal =
        ResidencyRefusal{target, RefusalReason::kOverloaded, DurationMs(1'000)};
    co_return result;
  }
  ScheduleTick();
  result = co_await Wait(caller);
  const std::lock_guard lock(m_mutex);
  m_client.RemoveWaiter(*waiter);
  RemoveCaller(*caller);
  co_return result;
}

AcquireResult CellSession::TryNow(const AcquireRequest& request) {
  const TimeMs now = m_services.clock.Now();
  AcquireResult result;
  if (!request.pin) {
    result.placement =
        m_client.TryAcquire(request.target, now, request.prefix_key);
    return result;
  }
  result.placement = m_client.TryAcquireOn(request.target, *request.pin, now);
  result.engine_lost =
      !result.placement && m_client.HasRestarted(request.target, *request.pin);
  return result;
}

Awaitable<AcquireResult> CellSession::Wait(std::shared_ptr<Caller> caller) {
  const AcquireRequest& request = caller->request;
  AcquireResult result;
  for (;;) {
    const DurationMs left = request.deadline - m_services.clock.Now();
    if (left <= DurationMs(0) || request.caller_gone()) co_return result;
    co_await caller->event->WaitFor(std::min(left, kCallerCheckInterval));
    const std::lock_guard lock(m_mutex);
    result = TryNow(request);
    if (result.placement || result.engine_lost) co_return result;
    result.refusal = caller->refusal;
    if (result.refusal) co_return result;
  }
}

void CellSession::RemoveCaller(const Caller& caller) {
  const auto it = m_callers.find(caller.request.target);
  if (it == m_callers.end()) return;
  it->second.remove_if([&](const std::shared_ptr<Caller>& other) {
    return other.get() == &caller;
  });
  if (it->second.empty()) m_callers.erase(it);
}

bool CellSession::MaySend(DispatchId dispatch) {
  const std::lock_guard lock(m_mutex);
  return m_client.MaySend(dispatch, m_services.clock.Now());
}

bool CellSession::ConfirmAccepted(DispatchId dispatch) {
  const std::lock_guard lock(m_mutex);
  return m_client.ConfirmAccepted(dispatch, m_services.clock.Now());
}

void CellSession::Release(DispatchId dispatch) {
  {
    const std::lock_guard lock(m_mutex);
    m_client.Release(dispatch);
  }
  ScheduleTick();
}

void CellSession::OnNotResident(DispatchId dispatch) {
  const std::lock_guard lock(m_mutex);
  m_client.OnNotResident(dispatch);
}

void CellSession::OnWorkerLost(const WorkerId& worker) {
  const std::lock_guard lock(m_mutex);
  m_client.OnWorkerLost(worker);
}

void CellSession::OnUpdate(const ResidencyUpdate& update) {
  {
    const std::lock_guard lock(m_mutex);
    m_client.OnUpdate(update, m_services.clock.Now());
  }
  ScheduleTick();
}

std::size_t CellSession::WaiterCount() const {
  const std::lock_guard lock(m_mutex);
  return m_client.WaiterCount();
}

std::size_t CellSession::GrantCount() const {
  const std::lock_guard lock(m_mutex);
  return m_client.GrantCount();
}

void CellSession::ScheduleTick() {
  if (m_tick_scheduled.exchange(true)) return;
  asio::post(m_services.pool.Context(0), [self = shared_from_this()] {
    self->m_tick_scheduled = false;
    self->Tick();
  });
}

void CellSession::Tick() {
  ResidencyTick tick;
  std::string leader;
  bool lookup = false;
  {
    const std::lock_guard lock(m_mutex);
    tick = m_client.Tick(m_services.clock.Now());
    Wake(tick);
    leader = m_leader;
    lookup = m_lookup_wanted;
  }
  if (lookup) FindLeader();
  // The last known leader is asked until another is found: during an outage of
  // the key-value service it may still lead.
  if (tick.sync && !leader.empty()) SendSync(leader, std::move(*tick.sync));
}

void CellSession::Wake(const ResidencyTick& tick) {
  for (const AdapterVersion& target : tick.ready) {
    const auto it = m_callers.find(target);
    if (it == m_callers.end()) continue;
    for (const auto& caller : it->second) caller->event->Notify();
  }
  for (const ResidencyRefusal& refusal : tick.refusals) {
    const auto it = m_callers.find(refusal.target);
    if (it == m_callers.end()) continue;
    for (const auto& caller : it->second) {
      caller->refusal = refusal;
      caller->event->Notify();
    }
  }
}

void CellSession::SendSync(const std::string& leader, ResidencySync sync) {
  sync.reply_to = m_reply_to;
  m_services.peers.Call(
      leader, "residency.sync", EncodeResidencySync(sync), kSyncTimeout,
      [self = shared_from_this()](const std::optional<std::string>& reply) {
        self->OnSyncReply(reply);
      });
}

void CellSession::OnSyncReply(const std::optional<std::string>& reply) {
  if (reply) {
    const auto update = DecodeResidencyUpdate(*reply);
    if (update) {
      OnUpdate(update.value());
      return;
    }
  }
  const auto not_leader =
      reply ? DecodeNotLeader(*reply) : std::optional<NotLeader>();
  const std::lock_guard lock(m_mutex);
  if (not_leader && !not_leader->leader_address.empty()) {
    m_leader = not_leader->leader_address;
    return;
  }
  m_lookup_wanted = true;
}

void CellSession::FindLeader() {
  {
    const std::lock_guard lock(m_mutex);
    const TimeMs now = m_services.clock.Now();
    if (m_lookup_running || now < m_next_lookup) return;
    m_lookup_running = true;
    m_next_lookup = now + kLookupInterval;
  }
  m_services.key_value.Call(
      KvGet{LeadershipKey(m_cell)}, kLookupTimeout,
      [self = shared_from_this()](const KvReply& reply) {
        const JsonRecordCodec codec;
        std::optional<LeadershipRecord> record;
        if (reply.status == KvStatus::kOk && !reply.entries.empty()) {
          record = codec.Decode(reply.entries.front().value);
        }
        {
          const std::lock_guard lock(self->m_mutex);
          self->m_lookup_running = false;
          if (!record || record->released) return;
          self->m_lookup_wanted = false;
          self->m_leader = record->leader.address;
          self->m_client.OnLeader(record->epoch);
        }
        self->ScheduleTick();
      });
}

}  // namespace yuccamoor
