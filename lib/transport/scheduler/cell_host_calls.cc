/// \file
/// \brief The calls, messages and orders of a cell host.

#include <optional>
#include <string>

#include "yuccamoor/coordination/engine_client.h"
#include "yuccamoor/coordination/key_value_service.h"
#include "yuccamoor/coordination/peer_channel.h"
#include "yuccamoor/protocol/residency_codec.h"
#include "yuccamoor/transport/scheduler/cell_host.h"

namespace yuccamoor {
namespace {

constexpr DurationMs kKvTimeout(500);
constexpr DurationMs kPeerTimeout(500);
constexpr DurationMs kReportTimeout(500);

}  // namespace

void CellHost::SendKvCall(const KvCall& call) {
  m_services.key_value.Call(
      call.request, kKvTimeout,
      [self = shared_from_this(), id = call.id](const KvReply& reply) {
        Outbox outbox;
        {
          const std::lock_guard lock(self->m_mutex);
          const TimeMs now = self->m_services.clock.Now();
          self->Apply(self->m_election->OnKvReply(id, reply, now), outbox);
        }
        self->Send(outbox);
      });
}

void CellHost::SendHold(const SendHoldRequest& request) {
  m_services.peers.Call(
      request.to.address, "leadership.hold", EncodeHoldRequest(request.request),
      kPeerTimeout,
      [self = shared_from_this()](const std::optional<std::string>& text) {
        if (!text) return;
        const auto reply = DecodeHoldReply(*text);
        if (!reply) return;
        const std::lock_guard lock(self->m_mutex);
        self->m_election->OnHoldReply(reply.value());
      });
}

void CellHost::SendSettle(const SendSettleRequest& request) {
  m_services.peers.Call(
      request.to.address, "leadership.settle",
      EncodeSettleRequest(request.request), kPeerTimeout,
      [self = shared_from_this()](const std::optional<std::string>& text) {
        if (!text) return;
        const auto reply = DecodeSettleReply(*text);
        if (!reply) return;
        const std::lock_guard lock(self->m_mutex);
        self->m_election->OnSettleReply(reply.value(),
                                        self->m_services.clock.Now());
      });
}

void CellHost::SendUpdateTo(const SendUpdate& action) {
  std::string address;
  {
    const std::lock_guard lock(m_mutex);
    const auto it = m_reply_to.find(action.update.gateway);
    if (it == m_reply_to.end()) return;
    address = it->second;
  }
  // A lost update does no harm: the next sync brings its contents again.
  m_services.peers.Call(address, "residency.update",
                        EncodeResidencyUpdate(action.update), kPeerTimeout,
                        [](const std::optional<std::string>&) {});
}

void CellHost::SendOrderTo(const SendOrder& action) {
  m_services.engines.Order(
      action.address, action.order, action.send_before, action.timeout,
      [self = shared_from_this()](const OrderResult& result) {
        Outbox outbox;
        {
          const std::lock_guard lock(self->m_mutex);
          std::size_t& open = self->m_open_orders[result.epoch];
          if (--open == 0) self->m_open_orders.erase(result.epoch);
          if (!self->m_leader) return;
          const TimeMs now = self->m_services.clock.Now();
          self->m_leader->OnOrderResult(result, now);
          self->TickLeader(now, outbox);
        }
        self->Send(outbox);
      });
}

void CellHost::SendReport(const WorkerConfig& worker) {
  m_services.engines.Report(
      worker.address, kReportTimeout,
      [self = shared_from_this(),
       id = worker.id](const std::optional<EngineReport>& report) {
        Outbox outbox;
        {
          const std::lock_guard lock(self->m_mutex);
          self->m_reports[id].running = false;
          if (!self->m_leader || !report || report->worker != id) return;
          const TimeMs now = self->m_services.clock.Now();
          self->m_leader->OnReport(*report, now);
          self->TickLeader(now, outbox);
        }
        self->Send(outbox);
      });
}

}  // namespace yuccamoor
