/// \file
/// \brief The test world's schedulers, service and engines.

#include <algorithm>
#include <string>

#include "coordination/cell/world/cell_world.h"

namespace yuccamoor::world {

namespace {

void Shorten(ElectionOptions& options) {
  options.ttl = DurationMs(400);
  options.renew_interval = DurationMs(100);
  options.poll_interval = DurationMs(100);
  options.margin = DurationMs(20);
  options.call_timeout = DurationMs(100);
  options.hold = DurationMs(800);
  options.hold_interval = DurationMs(100);
  options.order_timeout = kOrderTimeout;
  options.stagger = DurationMs(30);
  options.announce_interval = DurationMs(40);
  options.settle_interval = DurationMs(100);
}

void Shorten(CellLeaderOptions& options) {
  options.session_ttl = DurationMs(1'000);
  options.margin = DurationMs(20);
  options.renew_grace = DurationMs(300);
  options.order_timeout = kOrderTimeout;
  options.load_timeout = DurationMs(1'000);
  options.worker_silence = DurationMs(1'000);
  options.load_backoff = BackoffLimits{DurationMs(50), DurationMs(500)};
}

}  // namespace

NodeId CellWorld::NameOf(std::size_t node) {
  return NodeId("n" + std::to_string(node));
}

Candidate CellWorld::CandidateAt(std::size_t node) const {
  return Candidate{NameOf(node), std::to_string(node), FailureDomainId("d")};
}

void CellWorld::StartScheduler(std::size_t node) {
  ElectionOptions options;
  options.cell = m_config.id;
  options.self = CandidateAt(node);
  options.incarnation = Incarnation(m_processes[node].life);
  options.use_holds = m_schedule.use_holds;
  if (!m_schedule.production_times) Shorten(options);
  Scheduler& scheduler = m_schedulers[node];
  scheduler.leader.reset();
  scheduler.open_orders.clear();
  scheduler.election.emplace(
      Election::Create(options, m_codec, Local(node)).value());
}

void CellWorld::TickScheduler(std::size_t node) {
  Scheduler& scheduler = m_schedulers[node];
  if (now().ms() % 100 == 0) {
    std::vector<Candidate> live;
    for (std::size_t i = 0; i < kSchedulers; ++i) {
      if (m_processes[i].alive) live.push_back(CandidateAt(i));
    }
    scheduler.election->OnCandidates(
        CandidateList{std::move(live), Local(node), Local(node)});
  }
  Perform(node, scheduler.election->Tick(Local(node)));
  if (!scheduler.leader || !Running(node)) return;
  std::vector<NodeId> gateways;
  for (std::size_t i = kFirstGateway; i < kFirstWorker; ++i) {
    const bool listed =
        i == kFirstGateway || m_schedule.mistake != Mistake::kNoFullSync;
    if (m_processes[i].alive && listed) gateways.push_back(NameOf(i));
  }
  scheduler.leader->OnGateways(std::move(gateways));
  EvictionClearance clearance = scheduler.election->Clearance(Local(node));
  Plant(clearance);
  scheduler.leader->OnClearance(std::move(clearance), Local(node));
  const CellActions actions =
      scheduler.leader->Tick(Local(node), scheduler.election->OrderDeadline());
  scheduler.election->Announce(scheduler.leader->EvictionsToAnnounce());
  Perform(node, actions);
}

void CellWorld::Plant(EvictionClearance& clearance) const {
  if (m_schedule.mistake == Mistake::kUnannounced) clearance.unlisted = true;
  if (m_schedule.mistake == Mistake::kNotHonoured) {
    clearance.barred.clear();
    clearance.all_barred = false;
  }
}

void CellWorld::Perform(std::size_t node, const ElectionActions& actions) {
  for (const ElectionAction& action : actions) {
    if (const auto* call = std::get_if<KvCall>(&action)) {
      CallService(node, *call);
    } else if (const auto* send = std::get_if<SendHoldRequest>(&action)) {
      SendHold(node, *send);
    } else if (const auto* settle = std::get_if<SendSettleRequest>(&action)) {
      SendSettle(node, *settle);
    } else if (const auto* term = std::get_if<BecameLeader>(&action)) {
      BeginTerm(node, *term);
    } else {
      m_schedulers[node].leader.reset();
    }
  }
}

void CellWorld::CallService(std::size_t node, const KvCall& call) {
  const std::uint64_t life = m_processes[node].life;
  const auto answer = [this, node, life, id = call.id](const KvReply& reply) {
    const auto take = [this, node, id, reply] {
      Election& election = *m_schedulers[node].election;
      Perform(node, election.OnKvReply(id, reply, Local(node)));
    };
    DeliverToLife(node, life, take);
  };
  if (now() < m_service_down_until || now() < m_service_cut_until[node]) {
    KvReply reply;
    reply.status = KvStatus::kUnavailable;
    if (m_random.Chance(50)) reply.status = KvStatus::kUnknown;
    m_queue.After(DurationMs(2), [answer, reply] { answer(reply); });
    return;
  }
  const bool slow = now() < m_service_slow_until;
  const std::int64_t longest = slow ? 300 : 4;
  m_queue.After(m_random.Duration(1, longest), [=, this] {
    const KvReply reply = m_service.Apply(call.request);
    if (now() < m_answers_lost_until && m_random.Chance(60)) return;
    m_queue.After(DurationMs(1), [answer, reply] { answer(reply); });
  });
}

void CellWorld::SendHold(std::size_t node, const SendHoldRequest& send) {
  const std::size_t to = std::stoul(send.to.address);
  const HoldRequest request = send.request;
  Send(node, to, [this, node, to, request] {
    HoldReply reply;
    if (m_schedule.mistake == Mistake::kPromiseIgnored) {
      reply = HoldReply{request.cell, NameOf(to), request.epoch, request.number,
                        true};
    } else {
      reply = m_schedulers[to].election->OnHoldRequest(request, Local(to));
    }
    Send(to, node, [this, node, reply] {
      m_schedulers[node].election->OnHoldReply(reply);
    });
  });
}

void CellWorld::SendSettle(std::size_t node, const SendSettleRequest& send) {
  const std::size_t to = std::stoul(send.to.address);
  const SettleRequest request = send.request;
  Send(node, to, [this, node, to, request] {
    Scheduler& asked = m_schedulers[to];
    const bool open = !asked.open_orders.empty() &&
                      asked.open_orders.begin()->first <= request.epoch;
    const SettleReply reply =
        asked.election->OnSettleRequest(request, open, Local(to));
    Send(to, node, [this, node, reply] {
      m_schedulers[node].election->OnSettleReply(reply, Local(node));
    });
  });
}

void CellWorld::BeginTerm(std::size_t node, const BecameLeader& term) {
  ++m_outcome.takeovers;
  CellLeaderOptions options;
  if (!m_schedule.production_times) Shorten(options);
  options.credit = 2;
  const TimeMs may_order_from = m_schedule.mistake == Mistake::kNoWaiting
                                    ? TimeMs()
                                    : term.may_order_from;
  m_schedulers[node].leader.emplace(
      CellLeader::Create(m_config, term.epoch, may_order_from,
                         std::make_unique<FirstFitPolicy>(), options,
                         Local(node))
          .value());
}

void CellWorld::Perform(std::size_t node, const CellActions& actions) {
  for (const CellAction& action : actions) {
    if (const auto* update = std::get_if<SendUpdate>(&action)) {
      SendUpdateTo(node, update->update);
    } else {
      SendToEngine(node, std::get<SendOrder>(action));
    }
  }
}

void CellWorld::PublishReports() {
  for (std::size_t worker = kFirstWorker; worker < kNodes; ++worker) {
    for (std::size_t node = 0; node < kSchedulers; ++node) {
      if (!m_schedulers[node].leader) continue;
      const EngineReport report = EngineAt(worker).Report();
      const TimeMs taken = now();
      Send(worker, node, [this, node, report, taken] {
        if (!m_schedulers[node].leader) return;
        EngineReport received = report;
        const DurationMs age = now() - taken;
        received.age = age + age / 50 + DurationMs(2);
        m_schedulers[node].leader->OnReport(received, Local(node));
      });
    }
  }
}

}  // namespace yuccamoor::world
