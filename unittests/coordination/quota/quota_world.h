/// \file
/// \brief Nodes that keep quotas together over a network and a store that fail,
/// in virtual time.

#ifndef YUCCAMOOR_UNITTESTS_COORDINATION_QUOTA_QUOTA_WORLD_H_
#define YUCCAMOOR_UNITTESTS_COORDINATION_QUOTA_QUOTA_WORLD_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "yuccamoor/coordination/quota/tenant_quotas.h"

namespace yuccamoor::fleet {

/// The use of credit by one request.
struct QuotaUse {
  TimeMs time;
  double units = 0;
};

/// A fleet whose clients all belong to one tenant.
class QuotaWorld {
 public:
  explicit QuotaWorld(std::uint64_t seed) : m_random(seed) {}

  /// Starts a node, or another process of a node that has ended.
  void Start(int node) {
    Process& process = m_processes[node];
    process.quotas = std::make_unique<TenantQuotas>(
        IdOf(node), ++m_last_process, QuotaTimes::For(kPropagation), m_now,
        [this, node](const NodeId& to, const QuotaMessage& message) {
          Post(node, to, message);
        });
    process.plan = std::make_unique<QuotaMemberPlan>(
        IdOf(node), QuotaTimes::For(kPropagation));
    process.view = {};
    process.members = {};
    process.current_at.reset();
  }
  void End(int node) { m_processes[node].quotas.reset(); }
  bool IsUp(int node) const {
    const auto it = m_processes.find(node);
    return it != m_processes.end() && it->second.quotas != nullptr;
  }
  void CutFromStore(int node, bool cut) { m_processes[node].no_store = cut; }
  void CutFromNodes(int node, bool cut) { m_processes[node].no_nodes = cut; }
  void Freeze(int node, bool frozen) { m_processes[node].frozen = frozen; }
  void SetLoss(double loss) { m_loss = loss; }
  /// Has this part of the messages wait for up to four seconds, as on a link
  /// that was narrow.
  void SetLate(double late) { m_late = late; }
  void SetQuota(const QuotaSpec& quota) {
    m_quota = quota;
    m_version = m_version.Next();
  }
  const QuotaSpec& quota() const { return m_quota; }

  /// A client of the node sends a request.
  void Request(int node, double units) {
    Process& process = m_processes[node];
    if (!process.quotas || process.frozen) return;
    QuotaNeed need{TenantId("t"), m_quota, m_version, units, DurationMs(100)};
    process.quotas->Ask(
        need,
        [this, units](const QuotaDecision& decision) {
          if (decision.verdict != QuotaVerdict::kGranted) {
            m_refused += units;
            return;
          }
          m_uses.push_back({m_now + decision.wait, units});
        },
        m_now);
  }

  void Step() {
    m_now = m_now + kStep;
    KeepStore();
    Deliver();
    for (auto& [node, process] : m_processes) {
      if (!process.quotas || process.frozen) continue;
      process.quotas->OnTick(process.view, process.members, process.current_at,
                             true, m_now);
    }
  }

  /// The most units that were used within \p window.
  double MostUsed(DurationMs window) const {
    std::vector<QuotaUse> uses = m_uses;
    std::sort(uses.begin(), uses.end(),
              [](const auto& a, const auto& b) { return a.time < b.time; });
    double most = 0;
    double sum = 0;
    std::size_t first = 0;
    for (const QuotaUse& use : uses) {
      sum += use.units;
      while (uses[first].time + window < use.time) sum -= uses[first++].units;
      most = std::max(most, sum);
    }
    return most;
  }
  double UsedBetween(TimeMs from, TimeMs to) const {
    double sum = 0;
    for (const QuotaUse& use : m_uses) {
      if (use.time >= from && use.time < to) sum += use.units;
    }
    return sum;
  }

  TimeMs now() const { return m_now; }
  double refused() const { return m_refused; }
  std::uint64_t messages() const { return m_messages; }
  std::mt19937_64& random() { return m_random; }
  /// Returns a number from zero to one.
  double Draw() { return std::uniform_real_distribution<>(0, 1)(m_random); }

  static constexpr DurationMs kStep{20};
  static constexpr DurationMs kReadInterval{500};
  static constexpr DurationMs kPropagation{3'000};

 private:
  struct Process {
    std::unique_ptr<TenantQuotas> quotas;
    std::unique_ptr<QuotaMemberPlan> plan;
    std::map<NodeId, NodeRecord> view;
    QuotaMembers members;
    std::optional<TimeMs> current_at;
    bool no_store = false;
    bool no_nodes = false;
    bool frozen = false;
  };
  struct Posted {
    TimeMs arrives;
    int to = 0;
    QuotaMessage message;
  };

  static NodeId IdOf(int node) { return NodeId("n" + std::to_string(node)); }
  static int NumberOf(const NodeId& node) {
    return std::stoi(node.str().substr(1));
  }

  void Post(int from, const NodeId& to, const QuotaMessage& message) {
    ++m_messages;
    const int target = NumberOf(to);
    const bool cut = m_processes[from].no_nodes || m_processes[target].no_nodes;
    if (cut || Draw() < m_loss) return;
    const int copies = Draw() < m_loss / 2 ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      const double longest = Draw() < m_late ? 4'000 : 30;
      const auto delay = static_cast<std::int64_t>(1 + Draw() * longest);
      m_posted.push_back({m_now + DurationMs(delay), target, message});
    }
  }

  void Deliver() {
    std::vector<Posted> due;
    for (std::size_t i = 0; i < m_posted.size();) {
      Posted& posted = m_posted[i];
      // What comes to a frozen machine is read when it wakes.
      const bool waits =
          posted.arrives > m_now || m_processes[posted.to].frozen;
      if (waits) {
        ++i;
        continue;
      }
      due.push_back(std::move(posted));
      posted = std::move(m_posted.back());
      m_posted.pop_back();
    }
    for (const Posted& posted : due) {
      Process& process = m_processes[posted.to];
      if (process.quotas) process.quotas->OnMessage(posted.message, m_now);
    }
  }

  // Registers nodes that reach the store, removes those that have not renewed
  // their lease, and brings views up to date every half second.
  void KeepStore() {
    for (auto& [node, process] : m_processes) {
      const bool renews =
          process.quotas && !process.no_store && !process.frozen;
      if (renews) m_renewed[IdOf(node)] = m_now;
    }
    std::erase_if(m_renewed, [this](const auto& item) {
      return m_now - item.second > DurationMs(3'000);
    });
    for (auto& [node, process] : m_processes) {
      const std::int64_t phase = m_now.ms() + node * kStep.ms();
      if (phase % kReadInterval.ms() != 0) continue;
      if (!process.quotas || process.no_store || process.frozen) continue;
      process.view.clear();
      for (const auto& [id, renewed] : m_renewed) process.view[id] = {};
      WriteMembers(process);
      process.members = m_members;
      process.current_at = m_now;
    }
  }

  // A process writes by what it has read last; the store refuses that if the
  // record has changed since.
  void WriteMembers(const Process& process) {
    const auto next = process.plan->Next(process.view, process.members, m_now);
    if (next && process.members == m_members) m_members = *next;
  }

  std::mt19937_64 m_random;
  QuotaMembers m_members;
  TimeMs m_now{1'000'000};
  std::uint64_t m_last_process = 0;
  std::map<int, Process> m_processes;
  std::map<NodeId, TimeMs> m_renewed;
  std::vector<Posted> m_posted;
  double m_loss = 0;
  double m_late = 0;
  QuotaSpec m_quota;
  Revision m_version{1};
  std::vector<QuotaUse> m_uses;
  double m_refused = 0;
  std::uint64_t m_messages = 0;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_UNITTESTS_COORDINATION_QUOTA_QUOTA_WORLD_H_
