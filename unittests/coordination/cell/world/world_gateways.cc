/// \file
/// \brief The test world's gateways and their callers.

#include <algorithm>
#include <string>

#include "coordination/cell/world/cell_world.h"

namespace yuccamoor::world {
namespace {

constexpr DurationMs kRequestDeadline{3'000};
constexpr DurationMs kProbeDeadline{6'000};
constexpr DurationMs kAcceptTimeout{400};

}  // namespace

void CellWorld::StartGateway(std::size_t node) {
  Gateway& gateway = GatewayAt(node);
  gateway = Gateway();
  ResidencyClientOptions options;
  options.cell = m_config.id;
  options.gateway = NameOf(node);
  options.incarnation = Incarnation(m_processes[node].life);
  if (!m_schedule.production_times) {
    options.margin = DurationMs(20);
    options.renew_interval = DurationMs(150);
    options.retry_interval = DurationMs(80);
  }
  gateway.client.emplace(ResidencyClient::Create(options).value());
}

void CellWorld::LearnLeader(std::size_t node) {
  const auto asked = static_cast<std::size_t>(m_random.Between(0, 2));
  if (!Running(asked) || IsCut(node, asked)) return;
  const auto& record = m_schedulers[asked].election->record();
  Gateway& gateway = GatewayAt(node);
  if (!record || record->epoch < gateway.client->epoch()) return;
  gateway.leader = std::stoul(record->leader.address);
  gateway.client->OnLeader(record->epoch);
}

void CellWorld::AddRequest(std::size_t node, const AdapterVersion& target,
                           bool probe) {
  Gateway& gateway = GatewayAt(node);
  const TimeMs deadline =
      Local(node) + (probe ? kProbeDeadline : kRequestDeadline);
  const auto waiter = gateway.client->AddWaiter(target, Priority::kNormal,
                                                deadline, Local(node));
  if (!waiter) return;
  gateway.waiting.push_back(Request{target, *waiter, deadline, probe});
}

void CellWorld::TickGateway(std::size_t node) {
  Gateway& gateway = GatewayAt(node);
  if (now().ms() % 50 == 0) LearnLeader(node);
  if (m_callers && m_random.Chance(15)) {
    // The lower targets are asked for more often.
    const std::int64_t index = std::min(m_random.Between(0, kTargets - 1),
                                        m_random.Between(0, kTargets - 1));
    AddRequest(node, m_targets[static_cast<std::size_t>(index)], false);
  }
  std::erase_if(gateway.waiting, [&](const Request& request) {
    if (Local(node) < request.deadline) return false;
    gateway.client->RemoveWaiter(request.waiter);
    return true;
  });
  const ResidencyTick tick = gateway.client->Tick(Local(node));
  if (tick.sync) SendSync(node, *tick.sync);
  for (const AdapterVersion& target : tick.ready) {
    while (Running(node)) {
      const auto request =
          std::find_if(gateway.waiting.begin(), gateway.waiting.end(),
                       [&](const Request& r) { return r.target == target; });
      if (request == gateway.waiting.end()) break;
      const std::size_t left = gateway.waiting.size();
      const Request copy = *request;
      Dispatch(node, copy);
      if (gateway.waiting.size() == left) break;
    }
  }
}

void CellWorld::SendSync(std::size_t node, const ResidencySync& sync) {
  Gateway& gateway = GatewayAt(node);
  const std::size_t leader = gateway.leader;
  gateway.sync_sent[sync.sequence] = Local(node);
  Send(node, leader, [this, leader, sync] {
    if (!m_schedulers[leader].leader) return;
    CellLeader& handler = *m_schedulers[leader].leader;
    ResidencySync received = sync;
    if (m_schedule.mistake == Mistake::kEvictOnReportAlone) {
      received.full = true;
      received.holdings.clear();
    }
    Perform(leader, handler.OnSync(received, Local(leader)));
  });
}

void CellWorld::SendUpdateTo(std::size_t from, const ResidencyUpdate& update) {
  std::size_t to = kFirstGateway;
  while (NameOf(to) != update.gateway) ++to;
  Send(from, to, [this, from, to, update] {
    Gateway& gateway = GatewayAt(to);
    ResidencyUpdate received = update;
    const auto sent = gateway.sync_sent.find(update.acknowledged);
    if (m_schedule.mistake == Mistake::kDeadlineFromReceipt &&
        sent != gateway.sync_sent.end()) {
      received.session_ttl = received.session_ttl + (Local(to) - sent->second);
    }
    if (update.epoch > gateway.client->epoch()) gateway.leader = from;
    gateway.client->OnUpdate(received, Local(to));
  });
}

void CellWorld::Dispatch(std::size_t node, const Request& request) {
  Gateway& gateway = GatewayAt(node);
  const auto placement =
      gateway.client->TryAcquire(request.target, Local(node));
  if (!placement) return;
  gateway.client->RemoveWaiter(request.waiter);
  std::erase_if(gateway.waiting,
                [&](const Request& r) { return r.waiter == request.waiter; });
  const auto attempt = std::make_shared<Attempt>();
  attempt->request = request;
  attempt->placement = *placement;
  attempt->stream = std::make_shared<Stream>();
  attempt->stream->target = request.target;
  attempt->gateway = node;
  attempt->worker = placement->worker == m_config.workers[0].id
                        ? kFirstWorker
                        : kFirstWorker + 1;
  attempt->life = m_processes[node].life;
  std::erase_if(gateway.streams,
                [](const StreamPtr& s) { return s.use_count() == 1; });
  gateway.streams.push_back(attempt->stream);
  if (!gateway.client->MaySend(placement->dispatch, Local(node))) {
    GiveUp(attempt);
    return;
  }
  DurationMs pause;
  if (m_noise && m_random.Chance(4)) {
    pause = m_random.Duration(20, 1'500);
    Freeze(node, pause);
  }
  m_queue.After(pause, [this, attempt] { Write(attempt); });
  m_queue.After(kAcceptTimeout, [this, attempt] {
    DeliverToLife(attempt->gateway, attempt->life, [this, attempt] {
      if (!attempt->answered) GiveUp(attempt);
    });
  });
}

void CellWorld::Write(const AttemptPtr& attempt) {
  const std::size_t node = attempt->gateway;
  if (m_processes[node].life != attempt->life) return;
  if (IsCut(node, attempt->worker)) return;
  const DurationMs transit = Transit(1'500);
  m_queue.After(transit, [this, attempt] {
    FakeEngine& engine = EngineAt(attempt->worker);
    const bool accepted = engine.Start(attempt->stream);
    if (accepted) {
      m_queue.After(m_random.Duration(30, 900), [this, attempt] {
        EngineAt(attempt->worker).End(attempt->stream);
        DeliverToLife(attempt->gateway, attempt->life,
                      [this, attempt] { End(attempt); });
      });
    }
    m_queue.After(Transit(400), [this, attempt, accepted] {
      DeliverToLife(attempt->gateway, attempt->life, [this, attempt, accepted] {
        if (std::exchange(attempt->answered, true)) return;
        if (accepted) {
          OnAccepted(attempt);
          return;
        }
        GatewayAt(attempt->gateway)
            .client->OnNotResident(attempt->placement.dispatch);
        GiveUp(attempt);
      });
    });
  });
}

void CellWorld::OnAccepted(const AttemptPtr& attempt) {
  if (attempt->ended) return;
  const std::size_t node = attempt->gateway;
  ResidencyClient& client = *GatewayAt(node).client;
  const bool confirmed =
      client.ConfirmAccepted(attempt->placement.dispatch, Local(node));
  if (!confirmed) ++m_outcome.unconfirmed;
  if (!confirmed && m_schedule.mistake != Mistake::kNoConfirmation) {
    GiveUp(attempt);
    return;
  }
  attempt->stream->serving = true;
  if (attempt->stream->evicted) {
    m_outcome.violations.emplace_back("an evicted stream was confirmed");
  }
}

void CellWorld::GiveUp(const AttemptPtr& attempt) {
  if (std::exchange(attempt->ended, true)) return;
  attempt->answered = true;
  attempt->stream->abandoned = true;
  const std::size_t node = attempt->gateway;
  GatewayAt(node).client->Release(attempt->placement.dispatch);
  const StreamPtr stream = attempt->stream;
  const std::size_t worker = attempt->worker;
  m_queue.After(Transit(400),
                [this, worker, stream] { EngineAt(worker).End(stream); });
  if (Local(node) < attempt->request.deadline) {
    AddRequest(node, attempt->request.target, attempt->request.probe);
  }
}

void CellWorld::End(const AttemptPtr& attempt) {
  if (std::exchange(attempt->ended, true)) return;
  attempt->answered = true;
  ++m_outcome.served;
  if (attempt->request.probe) m_probe_served = true;
  GatewayAt(attempt->gateway).client->Release(attempt->placement.dispatch);
}

}  // namespace yuccamoor::world
