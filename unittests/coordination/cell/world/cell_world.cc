/// \file
/// \brief The test world's time, messages and faults.

#include "coordination/cell/world/cell_world.h"

#include <algorithm>
#include <string>

namespace yuccamoor::world {
namespace {

/// Slots per worker.
constexpr std::uint32_t kSlots = 2;
/// Orders that left evenly spaced may arrive bunched within these times, the
/// longer one with pauses between check and write.
constexpr DurationMs kBunching{400};
constexpr DurationMs kPausedBunching{1'900};

CellConfig MakeConfig(const Schedule& schedule) {
  CellConfig config;
  config.id = CellId("cell");
  config.store_loads_per_second = kStoreRate;
  config.store_max_in_flight = kMaxInFlight;
  config.engines_check_epoch = schedule.engines_check_epoch;
  if (schedule.mistake == Mistake::kNoLoadCap) {
    config.store_max_in_flight = 100;
    config.store_loads_per_second = 1'000;
  }
  for (std::size_t i = 0; i < kWorkers; ++i) {
    config.workers.push_back(WorkerConfig{WorkerId("w" + std::to_string(i)),
                                          "addr" + std::to_string(i),
                                          FailureDomainId("d"), VmId("vm")});
  }
  return config;
}

bool PausesWrites(const Schedule& schedule) {
  return schedule.engines_check_epoch || schedule.write_pauses;
}

double BurstOf(DurationMs bunching) {
  constexpr double kMsPerSecond = 1'000;
  return 1 + kStoreRate * static_cast<double>(bunching.ms()) / kMsPerSecond;
}

}  // namespace

CellWorld::CellWorld(Schedule schedule)
    : m_schedule(std::move(schedule)),
      m_random(m_schedule.seed),
      m_config(MakeConfig(m_schedule)),
      m_meter(kStoreRate,
              BurstOf(PausesWrites(m_schedule) ? kPausedBunching : kBunching),
              kMaxInFlight),
      m_noise(m_schedule.noise) {
  const bool checks = m_schedule.engines_check_epoch &&
                      m_schedule.mistake != Mistake::kNoFencing;
  for (const WorkerConfig& worker : m_config.workers) {
    m_engines.emplace_back(worker.id, kSlots, checks, m_schedule.write_pauses);
  }
  for (std::size_t i = 0; i < kTargets; ++i) {
    m_targets.push_back(
        AdapterVersion{AdapterId("a" + std::to_string(i)), VersionId("1")});
  }
  for (std::size_t node = 0; node < kFirstWorker; ++node) Start(node);
}

Outcome CellWorld::Run() {
  for (const Fault& fault : m_schedule.faults) {
    m_queue.At(fault.at, [this, fault] { Apply(fault); });
  }
  constexpr DurationMs kFaultTime{4'000};
  constexpr DurationMs kHealTime{1'000};
  constexpr DurationMs kProbeTime{6'000};
  RunFor(kFaultTime);
  Heal();
  RunFor(kHealTime);
  AddRequest(kFirstGateway, m_targets[kTargets - 1], true);
  for (TimeMs end = now() + kProbeTime; now() < end && !m_probe_served;) {
    RunFor(kStep);
  }
  if (!m_probe_served) {
    m_outcome.violations.emplace_back("no service after the faults had ended");
  }
  return m_outcome;
}

void CellWorld::RunFor(DurationMs time) {
  for (const TimeMs end = now() + time; now() < end;) {
    m_queue.RunUntil(now() + kStep);
    StepAll();
  }
}

void CellWorld::StepAll() {
  for (std::size_t node = 0; node < kFirstWorker; ++node) {
    Process& process = m_processes[node];
    if (!Running(node)) continue;
    const std::vector<Event> inbox = std::exchange(process.inbox, {});
    for (const Event& event : inbox) event();
    if (!Running(node)) continue;
    if (node < kFirstGateway) {
      TickScheduler(node);
    } else {
      TickGateway(node);
    }
  }
  if (now().ms() % 50 == 0) PublishReports();
  std::size_t leaders = 0;
  for (std::size_t i = 0; i < kSchedulers; ++i) {
    if (!m_processes[i].alive) continue;
    leaders += m_schedulers[i].election->IsLeader(Local(i)) ? 1 : 0;
  }
  if (leaders > 1) {
    m_outcome.violations.emplace_back("two leaders may order at once");
  }
}

std::size_t CellWorld::Leader() const {
  for (std::size_t i = 0; i < kSchedulers; ++i) {
    if (m_processes[i].alive && m_schedulers[i].election->IsLeader(Local(i))) {
      return i;
    }
  }
  return kSchedulers;
}

TimeMs CellWorld::Local(std::size_t node) const {
  // Clocks that start anywhere and drift by up to half a percent.
  constexpr std::int64_t kOffset = 7'919;
  const std::int64_t drift = static_cast<std::int64_t>(node % 3) - 1;
  return TimeMs(now().ms() + kOffset * static_cast<std::int64_t>(node) +
                drift * now().ms() / 200);
}

bool CellWorld::Running(std::size_t node) const {
  const Process& process = m_processes[node];
  return process.alive && now() >= process.frozen_until;
}

bool CellWorld::IsCut(std::size_t a, std::size_t b) const {
  return now() < m_cut_until[a][b] || now() < m_cut_until[b][a];
}

void CellWorld::Deliver(std::size_t to, Event event) {
  if (!m_processes[to].alive) return;
  if (Running(to)) {
    event();
  } else {
    m_processes[to].inbox.push_back(std::move(event));
  }
}

void CellWorld::DeliverToLife(std::size_t to, std::uint64_t life, Event event) {
  if (m_processes[to].life == life) Deliver(to, std::move(event));
}

DurationMs CellWorld::Transit(std::int64_t longest) {
  if (m_noise && m_random.Chance(5)) return m_random.Duration(1, longest);
  return m_random.Duration(1, 4);
}

void CellWorld::Send(std::size_t from, std::size_t to, const Event& event) {
  if (IsCut(from, to) || (m_noise && m_random.Chance(3))) return;
  const int copies = m_noise && m_random.Chance(3) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    constexpr std::int64_t kLongest = 400;
    m_queue.After(Transit(kLongest), [this, to, event] { Deliver(to, event); });
  }
}

void CellWorld::Freeze(std::size_t node, DurationMs time) {
  TimeMs& until = m_processes[node].frozen_until;
  until = std::max(until, now() + time);
}

void CellWorld::Start(std::size_t node) {
  m_processes[node].alive = true;
  m_processes[node].frozen_until = TimeMs();
  if (node < kFirstGateway) {
    StartScheduler(node);
  } else {
    StartGateway(node);
  }
}

void CellWorld::Kill(std::size_t node, DurationMs time) {
  Process& process = m_processes[node];
  if (!process.alive) return;
  process.alive = false;
  ++process.life;
  process.inbox.clear();
  if (node >= kFirstGateway) {
    for (const StreamPtr& stream : GatewayAt(node).streams) {
      stream->abandoned = true;
    }
  }
  m_queue.After(time, [this, node] { Start(node); });
}

void CellWorld::Apply(const Fault& fault) {
  const TimeMs until = now() + fault.duration;
  switch (fault.kind) {
    case FaultKind::kFreeze:
      Freeze(fault.node % kFirstWorker, fault.duration);
      break;
    case FaultKind::kKill:
      Kill(fault.node % kFirstWorker, fault.duration);
      break;
    case FaultKind::kCutPair:
      m_cut_until[fault.node][fault.other] = until;
      break;
    case FaultKind::kIsolate:
      for (std::size_t other = 0; other < kNodes; ++other) {
        m_cut_until[fault.node][other] = until;
      }
      if (fault.node < kSchedulers) m_service_cut_until[fault.node] = until;
      break;
    case FaultKind::kIsland:
      CutIsland(kFirstGateway + fault.node % kGateways, until);
      break;
    case FaultKind::kCutFromService:
      m_service_cut_until[fault.node % kSchedulers] = until;
      break;
    case FaultKind::kServiceDown:
      m_service_down_until = until;
      break;
    case FaultKind::kServiceSlow:
      m_service_slow_until = until;
      break;
    case FaultKind::kServiceLosesAnswers:
      m_answers_lost_until = until;
      break;
    case FaultKind::kEngineRestart:
      m_engines[fault.node % kWorkers].Restart();
      break;
    case FaultKind::kResign: {
      const std::size_t node = fault.node % kSchedulers;
      if (!Running(node)) break;
      Perform(node, m_schedulers[node].election->Resign(Local(node)));
      m_queue.After(fault.duration, [this, node] { Kill(node, kStep); });
      break;
    }
    case FaultKind::kCount:
      break;
  }
}

void CellWorld::CutIsland(std::size_t gateway, TimeMs until) {
  const std::size_t leader = Leader();
  if (leader == kSchedulers) return;
  m_service_cut_until[leader] = until;
  for (std::size_t other = 0; other < kFirstWorker; ++other) {
    if (other == leader || other == gateway) continue;
    m_cut_until[leader][other] = until;
    m_cut_until[gateway][other] = until;
  }
}

void CellWorld::Heal() {
  m_noise = false;
  m_callers = false;
  m_service_down_until = TimeMs();
  m_service_slow_until = TimeMs();
  m_answers_lost_until = TimeMs();
  m_service_cut_until.fill(TimeMs());
  for (auto& row : m_cut_until) row.fill(TimeMs());
}

}  // namespace yuccamoor::world
