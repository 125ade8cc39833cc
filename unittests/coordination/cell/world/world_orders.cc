/// \file
/// \brief The test world's orders, from a leader's check to the engine.

#include <algorithm>
#include <memory>

#include "coordination/cell/world/cell_world.h"

namespace yuccamoor::world {

void CellWorld::SendToEngine(std::size_t node, const SendOrder& send) {
  const std::uint64_t life = m_processes[node].life;
  const EngineOrder order = send.order;
  const auto done = std::make_shared<bool>(false);
  const auto finish = [=, this](OrderStatus status,
                                const InstanceId& instance) {
    const OrderResult result{order.worker, order.epoch, order.number, status,
                             instance};
    DeliverToLife(node, life, [this, node, done, result] {
      if (std::exchange(*done, true)) return;
      m_schedulers[node].open_orders.erase({result.epoch, result.number});
      CellLeader* const leader =
          m_schedulers[node].leader ? &*m_schedulers[node].leader : nullptr;
      if (leader) leader->OnOrderResult(result, Local(node));
    });
  };
  m_schedulers[node].open_orders.emplace(order.epoch, order.number);
  if (Local(node) >= send.send_before) {
    m_queue.After(DurationMs(1),
                  [finish] { finish(OrderStatus::kNotSent, InstanceId()); });
    return;
  }
  m_queue.After(send.timeout,
                [finish] { finish(OrderStatus::kUnknown, InstanceId()); });
  DurationMs pause;
  if (m_schedule.engines_check_epoch && m_noise && m_random.Chance(2)) {
    pause = m_random.Duration(20, 1'500);
    Freeze(node, pause);
  } else if (m_schedule.write_pauses && m_noise && m_random.Chance(10)) {
    pause = m_random.Duration(20, 4'000);
    Freeze(node, pause);
  }
  const std::size_t worker =
      order.worker == m_config.workers[0].id ? kFirstWorker : kFirstWorker + 1;
  m_queue.After(pause, [=, this] {
    if (m_processes[node].life != life || IsCut(node, worker)) return;
    if (m_noise && m_random.Chance(3)) return;
    const DurationMs transit = Transit(kOrderTimeout.ms() - 10);
    m_queue.After(transit, [=, this] {
      OnOrder(worker, order,
              [=, this](OrderStatus status, const InstanceId& from) {
                if (m_noise && m_random.Chance(5)) return;
                m_queue.After(Transit(400),
                              [finish, status, from] { finish(status, from); });
              });
    });
  });
}

bool CellWorld::IsLate(const EngineOrder& order) const {
  if (!m_schedule.write_pauses) return false;
  const auto record = m_codec.Decode(m_service.value());
  return record && order.epoch < record->epoch;
}

void CellWorld::CheckLateEviction(const EngineOrder& order) {
  ++m_outcome.late_evictions;
  const auto record = m_codec.Decode(m_service.value());
  const SlotKey key{order.worker, order.target};
  const bool known =
      record && std::any_of(record->unsettled.begin(), record->unsettled.end(),
                            [&](const UnsettledTerm& term) {
                              const auto& listed = term.evictions;
                              return term.unlisted ||
                                     std::find(listed.begin(), listed.end(),
                                               key) != listed.end();
                            });
  if (!known) {
    m_outcome.violations.emplace_back("an eviction came late unannounced");
  }
}

void CellWorld::OnOrder(
    std::size_t worker, const EngineOrder& order,
    const std::function<void(OrderStatus, const InstanceId&)>& reply) {
  FakeEngine& engine = EngineAt(worker);
  const bool late = IsLate(order);
  if (late && order.kind == OrderKind::kEvict) CheckLateEviction(order);
  const auto status = engine.Handle(order, m_outcome.violations);
  if (status) {
    if (*status == OrderStatus::kDone) ++m_outcome.evictions;
    reply(*status, engine.instance());
    return;
  }
  ++m_outcome.loads;
  m_outcome.last_load = now();
  if (late) {
    // One that the new leader could not count.
    ++m_late_loads;
  } else {
    std::size_t in_flight = 0;
    for (const FakeEngine& each : m_engines) in_flight += each.LoadsInFlight();
    m_meter.OnLoad(now(), in_flight - std::min(in_flight, m_late_loads),
                   m_outcome.violations);
  }
  const std::uint64_t life = engine.life();
  const bool loaded = !(m_noise && m_random.Chance(10));
  m_queue.After(m_random.Duration(60, 200), [=, this] {
    if (late) --m_late_loads;
    FakeEngine& later = EngineAt(worker);
    if (later.life() != life) return;
    later.FinishLoad(order.target, loaded);
    reply(loaded ? OrderStatus::kDone : OrderStatus::kFailed, later.instance());
  });
}

}  // namespace yuccamoor::world
