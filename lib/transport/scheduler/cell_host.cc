/// \file
/// \brief Implementation of the cell host.

#include "yuccamoor/transport/scheduler/cell_host.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "yuccamoor/coordination/engine_client.h"
#include "yuccamoor/coordination/key_value_service.h"
#include "yuccamoor/coordination/peer_channel.h"
#include "yuccamoor/protocol/residency_codec.h"
#include "yuccamoor/transport/observability/log_event.h"

namespace yuccamoor {
namespace {

/// Reports are read often while the leader waits for one.
constexpr DurationMs kBusyReportInterval(100);
constexpr DurationMs kIdleReportInterval(1'000);

/// Lets std::visit take one lambda per alternative.
template <class... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

template <class Action>
void Append(std::vector<Action>& to, std::vector<Action> from) {
  std::move(from.begin(), from.end(), std::back_inserter(to));
}

}  // namespace

Result<std::shared_ptr<CellHost>> CellHost::Create(CellHostServices services,
                                                   ElectionOptions election,
                                                   CellLeaderOptions leader,
                                                   PolicyFactory make_policy) {
  std::shared_ptr<CellHost> host(
      new CellHost(services, leader, std::move(make_policy)));
  auto made = Election::Create(std::move(election), host->m_codec,
                               services.clock.Now());
  if (!made) return made.error();
  host->m_election.emplace(std::move(made).value());
  return host;
}

CellHost::CellHost(CellHostServices services, CellLeaderOptions leader_options,
                   PolicyFactory make_policy)
    : m_services(services),
      m_leader_options(leader_options),
      m_make_policy(std::move(make_policy)) {}

void CellHost::OnConfig(std::shared_ptr<const CellConfig> config) {
  const std::lock_guard lock(m_mutex);
  if (m_config == config) return;
  m_config = std::move(config);
  if (m_leader) m_leader->OnConfig(*m_config);
}

void CellHost::OnCandidates(CandidateList candidates) {
  const std::lock_guard lock(m_mutex);
  m_election->OnCandidates(std::move(candidates));
}

void CellHost::OnGateways(std::vector<NodeId> gateways, TimeMs listed_at) {
  const std::lock_guard lock(m_mutex);
  // An older list may miss a gateway that only the earlier leader knew.
  if (!m_leader || listed_at < m_leading_since) return;
  std::erase_if(m_reply_to, [&gateways](const auto& entry) {
    return std::find(gateways.begin(), gateways.end(), entry.first) ==
           gateways.end();
  });
  m_leader->OnGateways(std::move(gateways));
}

std::string CellHost::HandleSync(const ResidencySync& sync) {
  std::string answer;
  Outbox outbox;
  {
    const std::lock_guard lock(m_mutex);
    if (!m_leader) return EncodeNotLeader(NotLeader{LeaderAddress()});
    m_reply_to[sync.gateway] = sync.reply_to;
    const TimeMs now = m_services.clock.Now();
    CellActions actions = m_leader->OnSync(sync, now);
    if (actions.empty()) return EncodeNotLeader(NotLeader{});
    const auto* update = std::get_if<SendUpdate>(&actions.front());
    if (update != nullptr) {
      answer = EncodeResidencyUpdate(update->update);
      actions.erase(actions.begin());
    }
    Append(outbox.cell, std::move(actions));
    TickLeader(now, outbox);
  }
  Send(outbox);
  return answer.empty() ? EncodeNotLeader(NotLeader{}) : answer;
}

HoldReply CellHost::HandleHold(const HoldRequest& request) {
  const std::lock_guard lock(m_mutex);
  return m_election->OnHoldRequest(request, m_services.clock.Now());
}

SettleReply CellHost::HandleSettle(const SettleRequest& request) {
  const std::lock_guard lock(m_mutex);
  const bool open =
      !m_open_orders.empty() && m_open_orders.begin()->first <= request.epoch;
  return m_election->OnSettleRequest(request, open, m_services.clock.Now());
}

void CellHost::Tick() {
  Outbox outbox;
  {
    const std::lock_guard lock(m_mutex);
    const TimeMs now = m_services.clock.Now();
    Apply(m_election->Tick(now), outbox);
    if (m_pending_start && m_config) StartLeading(*m_pending_start);
    TickLeader(now, outbox);
    CollectDueReports(now, outbox);
  }
  Send(outbox);
}

void CellHost::Resign() {
  Outbox outbox;
  {
    const std::lock_guard lock(m_mutex);
    Apply(m_election->Resign(m_services.clock.Now()), outbox);
  }
  Send(outbox);
}

bool CellHost::Resigned() const {
  const std::lock_guard lock(m_mutex);
  return m_election->Resigned();
}

CellStatus CellHost::Status() const {
  const std::lock_guard lock(m_mutex);
  CellStatus status;
  status.leading = m_leader.has_value();
  status.may_order = m_election->IsLeader(m_services.clock.Now());
  status.epoch = m_election->epoch();
  status.leader_address = LeaderAddress();
  if (m_config) status.cell = m_config->id;
  if (m_leader) status.state = m_leader->state();
  return status;
}

std::string CellHost::LeaderAddress() const {
  const auto& record = m_election->record();
  return record && !record->released ? record->leader.address : std::string();
}

void CellHost::Apply(ElectionActions actions, Outbox& outbox) {
  for (ElectionAction& action : actions) {
    if (const auto* start = std::get_if<BecameLeader>(&action)) {
      m_pending_start = *start;
      LogEvent("became_leader").Field("epoch", start->epoch);
      continue;
    }
    if (const auto* lost = std::get_if<LostLeadership>(&action)) {
      m_pending_start.reset();
      m_leader.reset();
      LogEvent("lost_leadership").Field("epoch", lost->epoch);
      continue;
    }
    outbox.election.push_back(std::move(action));
  }
}

void CellHost::StartLeading(const BecameLeader& start) {
  auto leader = CellLeader::Create(*m_config, start.epoch, start.may_order_from,
                                   m_make_policy(*m_config), m_leader_options,
                                   m_services.clock.Now());
  m_pending_start.reset();
  if (!leader) {
    LogEvent("cannot_lead", LogLevel::kError)
        .Field("cell", m_config->id)
        .Field("findings", leader.error().ToString());
    return;
  }
  m_leader.emplace(std::move(leader).value());
  m_leading_since = m_services.clock.Now();
  m_reports.clear();
}

void CellHost::TickLeader(TimeMs now, Outbox& outbox) {
  if (!m_leader) return;
  m_leader->OnClearance(m_election->Clearance(now), now);
  CellActions actions = m_leader->Tick(now, m_election->OrderDeadline());
  // Told before the orders leave, so that each later write lists them.
  m_election->Announce(m_leader->EvictionsToAnnounce());
  CountOrders(actions);
  Append(outbox.cell, std::move(actions));
}

void CellHost::CountOrders(const CellActions& actions) {
  for (const CellAction& action : actions) {
    const auto* send = std::get_if<SendOrder>(&action);
    if (send != nullptr) ++m_open_orders[send->order.epoch];
  }
}

void CellHost::CollectDueReports(TimeMs now, Outbox& outbox) {
  if (!m_leader) return;
  for (const WorkerConfig& worker : m_config->workers) {
    ReportSchedule& schedule = m_reports[worker.id];
    const bool due =
        now >= schedule.next || (m_leader->NeedsReport(worker.id) &&
                                 now >= schedule.last + kBusyReportInterval);
    if (schedule.running || !due) continue;
    schedule.running = true;
    schedule.last = now;
    schedule.next = now + kIdleReportInterval;
    outbox.reports.push_back(worker);
  }
}

void CellHost::Send(const Outbox& outbox) {
  for (const ElectionAction& action : outbox.election) {
    std::visit(
        Overloaded{[this](const KvCall& call) { SendKvCall(call); },
                   [this](const SendHoldRequest& hold) { SendHold(hold); },
                   [this](const SendSettleRequest& ask) { SendSettle(ask); },
                   [](const auto&) {}},
        action);
  }
  for (const CellAction& action : outbox.cell) {
    std::visit(
        Overloaded{[this](const SendUpdate& update) { SendUpdateTo(update); },
                   [this](const SendOrder& order) { SendOrderTo(order); }},
        action);
  }
  for (const WorkerConfig& worker : outbox.reports) SendReport(worker);
}

}  // namespace yuccamoor
