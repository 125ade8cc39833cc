/// \file
/// \brief Implementation of the cell measurement.

#include "cell_load.h"

#include <malloc.h>

#include <chrono>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "yuccamoor/coordination/cell/cell_leader.h"
#include "yuccamoor/coordination/placement/weighted_policy.h"
#include "yuccamoor/coordination/residency/residency_client.h"
#include "yuccamoor/protocol/residency_codec.h"

namespace yuccamoor {
namespace {

constexpr std::uint32_t kBatch = 32;
constexpr DurationMs kRenewal(1'000);
const Epoch kEpoch(1);

/// Adds up the time of repeated work.
class Stopwatch {
 public:
  template <class Work>
  auto Time(Work work) {
    const auto start = std::chrono::steady_clock::now();
    auto result = work();
    m_total += std::chrono::steady_clock::now() - start;
    ++m_count;
    return result;
  }

  double MeanMicroseconds() const {
    const std::chrono::duration<double, std::micro> total = m_total;
    return m_count == 0 ? 0 : total.count() / static_cast<double>(m_count);
  }

 private:
  std::chrono::steady_clock::duration m_total{};
  std::size_t m_count = 0;
};

std::size_t HeapBytes() { return mallinfo2().uordblks; }

AdapterVersion TargetOf(std::size_t number) {
  return AdapterVersion{AdapterId("adapter-" + std::to_string(number)),
                        VersionId("v1")};
}

CellConfig MakeConfig(const CellShape& shape) {
  CellConfig config;
  config.id = CellId("cell-1");
  config.engines_check_epoch = false;
  for (std::size_t i = 0; i < shape.workers; ++i) {
    WorkerConfig worker;
    worker.id = WorkerId("worker-" + std::to_string(i));
    worker.address = "10.0.0.1:" + std::to_string(9'000 + i);
    worker.failure_domain = FailureDomainId("domain-" + std::to_string(i % 6));
    config.workers.push_back(std::move(worker));
  }
  return config;
}

EngineReport MakeReport(const CellShape& shape, std::size_t worker,
                        std::uint64_t sequence) {
  EngineReport report;
  report.worker = WorkerId("worker-" + std::to_string(worker));
  report.instance = InstanceId("instance-" + std::to_string(worker));
  report.sequence = Sequence(sequence);
  report.slots = static_cast<std::uint32_t>(shape.slots);
  report.batch_capacity = kBatch;
  for (std::size_t i = 0; i < shape.slots; ++i) {
    report.residents.push_back(
        ResidentReport{TargetOf(worker * shape.slots + i), 0});
  }
  return report;
}

/// The cell's leader, its gateways' sessions, and what they exchange.
class CellLoad {
 public:
  explicit CellLoad(const CellShape& shape)
      : m_shape(shape), m_config(MakeConfig(shape)) {
    const std::size_t before = HeapBytes();
    m_leader.emplace(
        CellLeader::Create(m_config, kEpoch, m_now,
                           WeightedPolicy::Create(WeightedOptions()).value(),
                           CellLeaderOptions(), m_now)
            .value());
    m_leader->Tick(m_now, TimeMs::Never());
    m_costs.leader_bytes = HeapBytes() - before;
    for (std::size_t i = 0; i < shape.gateways; ++i) AddGateway(i);
    m_costs.session_bytes = (HeapBytes() - before - m_costs.leader_bytes) /
                            std::max<std::size_t>(1, shape.gateways);
  }

  /// Has every gateway take its grants.
  void WarmUp() {
    SendReports();
    const std::size_t before = HeapBytes();
    for (std::size_t i = 0; i < m_gateways.size(); ++i) {
      for (std::size_t k = 0; k < m_shape.grants_per_gateway; ++k) {
        const auto target = TargetOf((i * 7 + k) % Residents());
        m_waiters.push_back({i, m_gateways[i]
                                    .AddWaiter(target, Priority::kNormal,
                                               TimeMs::Never(), m_now)
                                    .value()});
      }
    }
    constexpr int kRoundsToSettle = 3;
    for (int round = 0; round < kRoundsToSettle; ++round) {
      SendReports();
      RenewAll(false);
    }
    CheckGrants();
    // From here on everything is warm, and only renewals are exchanged.
    for (const auto& [gateway, waiter] : m_waiters) {
      m_gateways[gateway].RemoveWaiter(waiter);
    }
    RenewAll(false);
    m_costs.leader_bytes += HeapBytes() - before;
  }

  /// Renews every session once.
  void RenewAll(bool measured) {
    m_now = m_now + kRenewal;
    for (ResidencyClient& gateway : m_gateways) Renew(gateway, measured);
    Stopwatch unmeasured;
    (measured ? m_tick : unmeasured).Time([&] {
      return m_leader->Tick(m_now, TimeMs::Never()).size();
    });
    if (measured) SendReports();
  }

  CellCosts Costs() const {
    CellCosts costs = m_costs;
    costs.sync_bytes = m_sync_bytes / m_renewals;
    costs.update_bytes = m_update_bytes / m_renewals;
    costs.leader_renewal_us = m_handle.MeanMicroseconds();
    costs.leader_tick_us = m_tick.MeanMicroseconds();
    costs.leader_report_us = m_report.MeanMicroseconds();
    costs.gateway_renewal_us = m_client.MeanMicroseconds();
    return costs;
  }

 private:
  std::size_t Residents() const { return m_shape.workers * m_shape.slots; }

  void AddGateway(std::size_t number) {
    ResidencyClientOptions options;
    options.cell = m_config.id;
    options.gateway = NodeId("gateway-" + std::to_string(number));
    options.incarnation = Incarnation(1);
    m_gateways.push_back(ResidencyClient::Create(std::move(options)).value());
    m_gateways.back().OnLeader(kEpoch);
  }

  void SendReports() {
    ++m_sequence;
    for (std::size_t i = 0; i < m_shape.workers; ++i) {
      const EngineReport report = MakeReport(m_shape, i, m_sequence);
      m_report.Time([&] {
        m_leader->OnReport(report, m_now);
        return 0;
      });
    }
  }

  void Renew(ResidencyClient& gateway, bool measured) {
    Stopwatch unmeasured;
    Stopwatch& client = measured ? m_client : unmeasured;
    Stopwatch& handle = measured ? m_handle : unmeasured;
    const auto sync = client.Time([&] { return gateway.Tick(m_now).sync; });
    if (!sync) return;
    const std::string text = EncodeResidencySync(*sync);
    const std::string answer = handle.Time([&] {
      const auto decoded = DecodeResidencySync(text);
      const CellActions actions = m_leader->OnSync(decoded.value(), m_now);
      if (actions.empty()) throw std::logic_error("a sync was not answered");
      return EncodeResidencyUpdate(
          std::get<SendUpdate>(actions.front()).update);
    });
    gateway.OnUpdate(DecodeResidencyUpdate(answer).value(), m_now);
    if (!measured) return;
    m_sync_bytes += static_cast<double>(text.size());
    m_update_bytes += static_cast<double>(answer.size());
    m_renewals += 1;
  }

  void CheckGrants() const {
    for (const ResidencyClient& gateway : m_gateways) {
      if (gateway.GrantCount() == 0) {
        throw std::logic_error("a gateway got no grants");
      }
    }
  }

  CellShape m_shape;
  CellConfig m_config;
  TimeMs m_now{1'000};
  std::optional<CellLeader> m_leader;
  std::vector<ResidencyClient> m_gateways;
  std::vector<std::pair<std::size_t, WaiterId>> m_waiters;
  std::uint64_t m_sequence = 0;
  Stopwatch m_client;
  Stopwatch m_handle;
  Stopwatch m_tick;
  Stopwatch m_report;
  double m_sync_bytes = 0;
  double m_update_bytes = 0;
  double m_renewals = 0;
  CellCosts m_costs;
};

}  // namespace

CellCosts MeasureCell(const CellShape& shape, std::size_t rounds) {
  CellLoad load(shape);
  load.WarmUp();
  for (std::size_t i = 0; i < rounds; ++i) load.RenewAll(true);
  return load.Costs();
}

}  // namespace yuccamoor
