/// \file
/// \brief Implementation of the scheduler.

#include "yuccamoor/transport/scheduler/scheduler.h"

#include <algorithm>
#include <chrono>
#include <thread>

#include "yuccamoor/coordination/placement/naive_policy.h"
#include "yuccamoor/coordination/placement/weighted_policy.h"
#include "yuccamoor/protocol/json.h"
#include "yuccamoor/protocol/residency_codec.h"
#include "yuccamoor/transport/daemon/config_host.h"
#include "yuccamoor/transport/daemon/member_registry.h"
#include "yuccamoor/transport/daemon/telemetry.h"
#include "yuccamoor/transport/observability/log_event.h"
#include "yuccamoor/transport/platform/http_engine_client.h"

namespace yuccamoor {
namespace {

constexpr DurationMs kCellTickInterval(20);
constexpr DurationMs kMemberTickInterval(500);

Candidate ToCandidate(const Member& member) {
  return Candidate{member.id, member.address, member.failure_domain};
}

constexpr const char* kPhaseNames[] = {"loading", "ready", "draining",
                                       "evicting"};

Json EncodeWorkers(const CellState& state) {
  Json workers = Json::array();
  for (const WorkerState& worker : state.workers) {
    Json slots = Json::array();
    for (const SlotState& slot : worker.occupied) {
      slots.push_back({{"target", slot.target},
                       {"phase", kPhaseNames[static_cast<int>(slot.phase)]},
                       {"running", slot.running},
                       {"grants", slot.grants}});
    }
    workers.push_back({{"worker", worker.id},
                       {"address", worker.address},
                       {"failure_domain", worker.failure_domain},
                       {"usable", worker.usable},
                       {"slots", worker.slots},
                       {"running", worker.running},
                       {"batch_capacity", worker.batch_capacity},
                       {"adapters", std::move(slots)}});
  }
  return workers;
}

/// One row for each adapter version and worker that has a slot for it.
void AppendAdapters(const CellStatus& status, Json& rows) {
  for (const WorkerState& worker : status.state.workers) {
    for (const SlotState& slot : worker.occupied) {
      rows.push_back({{"target", slot.target},
                      {"cell", status.cell},
                      {"worker", worker.id},
                      {"phase", kPhaseNames[static_cast<int>(slot.phase)]},
                      {"running", slot.running},
                      {"grants", slot.grants}});
    }
  }
}

Json EncodeStatus(const CellStatus& status) {
  return Json{{"cell", status.cell},
              {"leading", status.leading},
              {"may_order", status.may_order},
              {"epoch", status.epoch},
              {"leader", status.leader_address},
              {"waiting_adapters", status.state.waiting.size()},
              {"loads_in_flight", status.state.store.in_flight}};
}

}  // namespace

Result<std::unique_ptr<Scheduler>> Scheduler::Create(
    SchedulerSettings settings) {
  auto daemon = Daemon::Create(settings.daemon, MemberRole::kScheduler);
  if (!daemon) return daemon.error();
  std::unique_ptr<Scheduler> scheduler(
      new Scheduler(std::move(settings), std::move(daemon).value()));
  scheduler->AddPeerMethods();
  scheduler->AddOperatorPaths();
  return scheduler;
}

Scheduler::Scheduler(SchedulerSettings settings, std::unique_ptr<Daemon> daemon)
    : m_settings(std::move(settings)),
      m_daemon(std::move(daemon)),
      m_engines(HttpEngineClient::Create(m_daemon->pool(), m_daemon->client(),
                                         m_daemon->clock())) {}

Scheduler::~Scheduler() { m_daemon->pool().Stop(); }

void Scheduler::AddPeerMethods() {
  m_daemon->AddPeerMethod("residency.sync",
                          [this](const std::string& parameters) {
                            const auto sync = DecodeResidencySync(parameters);
                            if (!sync)
                              throw JsonRpcError(sync.error().ToString());
                            const auto host = Host(sync.value().cell);
                            if (!host) return EncodeNotLeader(NotLeader{});
                            return host->HandleSync(sync.value());
                          });
  m_daemon->AddPeerMethod(
      "leadership.hold", [this](const std::string& parameters) {
        const auto request = DecodeHoldRequest(parameters);
        if (!request) throw JsonRpcError(request.error().ToString());
        const auto host = Host(request.value().cell);
        if (!host) throw JsonRpcError("no candidate for this cell");
        return EncodeHoldReply(host->HandleHold(request.value()));
      });
  m_daemon->AddPeerMethod(
      "leadership.settle", [this](const std::string& parameters) {
        const auto request = DecodeSettleRequest(parameters);
        if (!request) throw JsonRpcError(request.error().ToString());
        const auto host = Host(request.value().cell);
        if (!host) throw JsonRpcError("no candidate for this cell");
        return EncodeSettleReply(host->HandleSettle(request.value()));
      });
}

void Scheduler::AddOperatorPaths() {
  m_daemon->AddOperatorPath("/admin/drain", [this](const HttpRequest& request) {
    if (request.method != "POST") return MethodNotAllowed();
    m_daemon->SetDraining();
    for (const auto& host : Hosts()) host->Resign();
    return JsonResponse(200, R"({"draining":true})");
  });
  m_daemon->telemetry().metrics().OnRender([this] { UpdateMetrics(); });
  m_daemon->AddOperatorPath("/admin/status", [this](const HttpRequest&) {
    Json cells = Json::array();
    for (const auto& host : Hosts()) {
      cells.push_back(EncodeStatus(host->Status()));
    }
    const auto config = m_daemon->config().Current();
    return JsonResponse(
        200, Json{{"node", m_settings.daemon.node},
                  {"role", "scheduler"},
                  {"ready", m_daemon->Ready()},
                  {"draining", m_daemon->draining()},
                  {"revision", config ? config->revision.value() : 0},
                  {"cells", std::move(cells)}}
                 .dump());
  });
  m_daemon->AddOperatorPath("/admin/workers", [this](const HttpRequest&) {
    Json cells = Json::object();
    for (const auto& host : Hosts()) {
      const CellStatus status = host->Status();
      if (!status.leading) continue;
      cells[status.cell.str()] = EncodeWorkers(status.state);
    }
    return JsonResponse(200, cells.dump());
  });
  m_daemon->AddOperatorPath("/admin/adapters", [this](const HttpRequest&) {
    Json rows = Json::array();
    for (const auto& host : Hosts()) {
      const CellStatus status = host->Status();
      if (status.leading) AppendAdapters(status, rows);
    }
    return JsonResponse(200, Json{{"adapters", std::move(rows)}}.dump());
  });
}

void Scheduler::UpdateMetrics() {
  std::uint32_t running = 0;
  std::uint32_t capacity = 0;
  std::uint32_t loads = 0;
  std::size_t waiting = 0;
  for (const auto& host : Hosts()) {
    const CellStatus status = host->Status();
    if (!status.leading) continue;
    loads += status.state.store.in_flight;
    waiting += status.state.waiting.size();
    for (const WorkerState& worker : status.state.workers) {
      if (!worker.usable) continue;
      running += worker.running;
      capacity += worker.batch_capacity;
    }
  }
  Telemetry& telemetry = m_daemon->telemetry();
  telemetry.serving().batch_fill_ratio.Set(
      capacity == 0 ? 0 : static_cast<double>(running) / capacity);
  telemetry.metrics()
      .GetGauge("yuccamoor_loads_in_flight", "Adapter loads under way")
      .Set(loads);
  telemetry.metrics()
      .GetGauge("yuccamoor_waiting_adapters",
                "Adapter versions that requests wait for")
      .Set(static_cast<double>(waiting));
}

void Scheduler::Start() {
  m_daemon->Start();
  m_daemon->pool().Every(kCellTickInterval, [this] { Tick(); });
  m_daemon->pool().Every(kMemberTickInterval, [this] { RefreshMembers(); });
}

void Scheduler::Tick() {
  OpenHosts();
  for (const auto& host : Hosts()) host->Tick();
}

bool Scheduler::Wants(const CellConfig& cell) const {
  const auto& cells = m_settings.cells;
  if (!cells.empty()) {
    return std::find(cells.begin(), cells.end(), cell.id) != cells.end();
  }
  return m_settings.daemon.region.empty() ||
         cell.region == m_settings.daemon.region;
}

void Scheduler::OpenHosts() {
  const auto config = m_daemon->config().Current();
  // An incarnation is final only once the registration has been seen.
  if (!config || !m_daemon->members().Known() || m_daemon->draining()) return;
  for (const auto& [id, cell] : config->cells) {
    if (const auto host = Host(id)) {
      host->OnConfig(cell);
      continue;
    }
    if (!Wants(*cell)) continue;
    ElectionOptions options;
    options.cell = id;
    options.self = Candidate{m_settings.daemon.node, m_daemon->peer_address(),
                             m_settings.daemon.failure_domain};
    options.incarnation = m_daemon->members().incarnation();
    const bool naive = m_settings.policy == "naive";
    auto host = CellHost::Create(
        CellHostServices{m_daemon->peers(), m_daemon->key_value(), *m_engines,
                         m_daemon->clock()},
        std::move(options), CellLeaderOptions(),
        [naive](const CellConfig&) -> std::unique_ptr<PlacementPolicy> {
          if (naive) return NaivePolicy::Create(NaiveOptions()).value();
          return WeightedPolicy::Create(WeightedOptions()).value();
        });
    if (!host) {
      LogEvent("cell_failed", LogLevel::kError)
          .Field("cell", id)
          .Field("findings", host.error().ToString());
      continue;
    }
    host.value()->OnConfig(cell);
    const std::unique_lock lock(m_hosts_mutex);
    m_hosts.emplace(id, std::move(host).value());
  }
}

void Scheduler::RefreshMembers() {
  if (!m_daemon->members().Known()) return;
  const TimeMs listed_at = m_daemon->members().ListedAt();
  CandidateList candidates;
  candidates.members_read = listed_at;
  candidates.vms_read = m_daemon->members().VmsListedAt();
  for (const Member& member :
       m_daemon->members().Live(MemberRole::kScheduler)) {
    candidates.live.push_back(ToCandidate(member));
  }
  std::vector<NodeId> gateways;
  for (const Member& member : m_daemon->members().Live(MemberRole::kGateway)) {
    gateways.push_back(member.id);
  }
  for (const auto& host : Hosts()) {
    host->OnCandidates(candidates);
    host->OnGateways(gateways, listed_at);
  }
}

std::shared_ptr<CellHost> Scheduler::Host(const CellId& cell) const {
  const std::shared_lock lock(m_hosts_mutex);
  const auto it = m_hosts.find(cell);
  return it == m_hosts.end() ? nullptr : it->second;
}

std::vector<std::shared_ptr<CellHost>> Scheduler::Hosts() const {
  const std::shared_lock lock(m_hosts_mutex);
  std::vector<std::shared_ptr<CellHost>> hosts;
  for (const auto& [id, host] : m_hosts) hosts.push_back(host);
  return hosts;
}

bool Scheduler::Shutdown() {
  constexpr auto kPollInterval = std::chrono::milliseconds(20);
  m_daemon->SetDraining();
  const auto hosts = Hosts();
  for (const auto& host : hosts) host->Resign();
  const auto resigned = [](const auto& host) { return host->Resigned(); };
  const TimeMs deadline =
      m_daemon->clock().Now() + m_settings.daemon.shutdown_grace;
  while (!std::all_of(hosts.begin(), hosts.end(), resigned) &&
         m_daemon->clock().Now() < deadline) {
    std::this_thread::sleep_for(kPollInterval);
  }
  const bool whole = std::all_of(hosts.begin(), hosts.end(), resigned);
  m_daemon->Stop();
  return whole;
}

}  // namespace yuccamoor
