/// \file
/// \brief Plays tenants that compete for one engine, in virtual time.

#include "yuccamoor/coordination/fleet/fair_order.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "yuccamoor/coordination/fleet/prompt_queue.h"

namespace yuccamoor::fleet {
namespace {

constexpr DurationMs kTick{20};
constexpr DurationMs kRefresh{240};
constexpr DurationMs kObjective{700};
constexpr DurationMs kPatience{4'000};
constexpr std::uint32_t kTokens = 760;
constexpr DurationMs kRunTime{60'000};

struct TenantLoad {
  TenantId tenant;
  int priority = 0;
  /// Prompts per second.
  double rate = 0;
};

struct TenantResult {
  int arrived = 0;
  int sent = 0;
  int refused = 0;
  int left_unserved = 0;
  DurationMs longest_held_refused{0};
};

using Results = std::map<TenantId, TenantResult>;

/// One engine, its holder and the callers. A prompt leaves when its quote says
/// that it cannot be sent in time, or when its caller's patience ends.
class SharedEngine {
 public:
  explicit SharedEngine(std::vector<TenantLoad> loads)
      : m_loads(std::move(loads)), m_random(7) {}

  Results Run() {
    for (TimeMs now(1'000); now < TimeMs(1'000) + kRunTime;
         now = now + DurationMs(1)) {
      Arrive(now);
      if (now.ms() % kTick.ms() == 0) Tick(now);
    }
    return m_results;
  }

  /// Admissions of a prompt although one of higher priority waited that could
  /// still be on time.
  int inversions() const { return m_inversions; }

 private:
  struct Caller {
    PendingPrompt prompt;
    TimeMs arrived;
    TimeMs asked;
  };

  PrefillLoad Load(TimeMs now) const {
    return {4, 16, std::max(DurationMs(0), m_busy_until - now)};
  }

  void Arrive(TimeMs now) {
    for (const TenantLoad& load : m_loads) {
      const double draw = std::generate_canonical<double, 53>(m_random);
      if (draw >= load.rate / 1'000) continue;
      ++m_results[load.tenant].arrived;
      const std::uint64_t number = m_next++;
      const PendingPrompt prompt{{NodeId("n"), number},
                                 kTokens,
                                 load.priority,
                                 now + kObjective,
                                 load.tenant};
      if (m_queue.Quote(prompt, Load(now), now) == DurationMs(0)) {
        Send(prompt, now);
      } else {
        m_callers.emplace(number, Caller{prompt, now, TimeMs(0)});
        Ask(number, now);
      }
    }
  }

  void Ask(std::uint64_t number, TimeMs now) {
    Caller& caller = m_callers.at(number);
    caller.asked = now;
    const DurationMs wait = m_queue.Enqueue(caller.prompt, Load(now), now);
    const DurationMs held = now - caller.arrived;
    if (held + wait <= kPatience) return;
    TenantResult& result = m_results[caller.prompt.tenant];
    ++(held < kPatience - kRefresh ? result.refused : result.left_unserved);
    result.longest_held_refused = std::max(result.longest_held_refused, held);
    m_callers.erase(number);
  }

  void Tick(TimeMs now) {
    for (const AdmissionId& id : m_queue.Admit(Load(now), now)) {
      const auto it = m_callers.find(id.number);
      // Its caller has left; the reservation ends by itself.
      if (it == m_callers.end()) continue;
      const PendingPrompt prompt = it->second.prompt;
      m_callers.erase(it);
      CountInversions(prompt, now);
      Send(prompt, now);
    }
    std::vector<std::uint64_t> due;
    for (const auto& [number, caller] : m_callers) {
      if (now - caller.asked >= kRefresh) due.push_back(number);
    }
    for (const std::uint64_t number : due) Ask(number, now);
  }

  void CountInversions(const PendingPrompt& admitted, TimeMs now) {
    for (const auto& [number, caller] : m_callers) {
      const PendingPrompt& other = caller.prompt;
      if (other.priority < admitted.priority && now <= other.send_by) {
        ++m_inversions;
      }
    }
  }

  void Send(const PendingPrompt& prompt, TimeMs now) {
    m_queue.OnSent(prompt.id);
    m_busy_until = std::max(m_busy_until, now) + ReservedPrefill(prompt.tokens);
    ++m_results[prompt.tenant].sent;
  }

  std::vector<TenantLoad> m_loads;
  std::mt19937_64 m_random;
  PromptQueue m_queue;
  std::map<std::uint64_t, Caller> m_callers;
  TimeMs m_busy_until;
  std::uint64_t m_next = 1;
  Results m_results;
  int m_inversions = 0;
};

double PromptsPerSecond() {
  return 1'000.0 / static_cast<double>(ReservedPrefill(kTokens).ms());
}

/// 15 tenants of skewed demand, and one with eight times its share; together
/// \p overload times what the engine bears.
std::vector<TenantLoad> SkewedTenants(double overload, int priorities) {
  constexpr int kTenants = 16;
  constexpr double kHotShares = 8;
  const double hot = PromptsPerSecond() * kHotShares / kTenants;
  double weights = 0;
  for (int i = 1; i < kTenants; ++i) weights += 1.0 / i;
  std::vector<TenantLoad> loads{{TenantId("hot"), 0, hot}};
  for (int i = 1; i < kTenants; ++i) {
    const double rate = (PromptsPerSecond() * overload - hot) / weights / i;
    loads.push_back({TenantId("t" + std::to_string(i)), i % priorities, rate});
  }
  return loads;
}

/// Returns the share of each tenant's demand, in prompts, if none gets more
/// than another that wants more: what is left is divided until all is used.
std::map<TenantId, double> FairShares(const Results& results, double capacity) {
  std::map<TenantId, double> shares;
  std::vector<std::pair<double, TenantId>> demands;
  for (const auto& [tenant, result] : results) {
    demands.emplace_back(result.arrived, tenant);
  }
  std::sort(demands.begin(), demands.end());
  std::size_t left = demands.size();
  for (const auto& [demand, tenant] : demands) {
    shares[tenant] = std::min(demand, capacity / static_cast<double>(left));
    capacity -= shares[tenant];
    --left;
  }
  return shares;
}

double RunCapacity(const Results& results) {
  double sent = 0;
  for (const auto& [tenant, result] : results) sent += result.sent;
  return sent;
}

PendingPrompt Prompt(std::uint64_t number, const char* tenant, TimeMs send_by) {
  return {{NodeId("n"), number}, 2'000, 0, send_by, TenantId(tenant)};
}

}  // namespace

// Fails if a tenant that sends far more than its share gets that from others.
TEST_CASE("A tenant with eight times its share takes nothing from the others",
          "[fleet][prompts][fair]") {
  SharedEngine engine(SkewedTenants(1.5, 1));
  const Results results = engine.Run();
  // The engine is kept busy.
  const double capacity =
      PromptsPerSecond() * static_cast<double>(kRunTime.ms()) / 1'000;
  CHECK(RunCapacity(results) >= 0.95 * capacity);
  for (const auto& [tenant, share] : FairShares(results, capacity)) {
    const TenantResult& result = results.at(tenant);
    CAPTURE(tenant.str(), result.arrived, result.sent, share);
    CHECK(result.sent >= 0.9 * share);
  }
}

// Fails if fairness between tenants lets a lower priority go first.
TEST_CASE("Fair shares never turn priorities around",
          "[fleet][prompts][fair]") {
  SharedEngine engine(SkewedTenants(1.5, 3));
  engine.Run();
  CHECK(engine.inversions() == 0);
}

// Fails if a prompt that later ones go before is held until its caller leaves.
TEST_CASE("A prompt that is passed over is refused before its caller leaves",
          "[fleet][prompts][fair]") {
  std::vector<TenantLoad> loads = SkewedTenants(1.2, 1);
  loads.push_back({TenantId("background"), 3, PromptsPerSecond() / 16});
  SharedEngine engine(loads);
  const Results results = engine.Run();
  const TenantResult& background = results.at(TenantId("background"));
  CAPTURE(background.arrived, background.sent, background.refused,
          background.longest_held_refused.ms());
  CHECK(background.left_unserved == 0);
  CHECK(background.longest_held_refused <= kPatience * 2 / 3);
}

// Fails if shares change the order where requests have no tenants.
TEST_CASE("Prompts without tenants go by time left however many there were",
          "[fleet][prompts][fair]") {
  FairOrder order;
  for (int i = 0; i < 20; ++i) order.OnAdmitted(Prompt(100, "", TimeMs(10)));
  const auto first = Prompt(1, "", TimeMs(900));
  const auto second = Prompt(2, "", TimeMs(700));
  const auto third = Prompt(3, "", TimeMs(800));
  const auto late = Prompt(4, "", TimeMs(5));
  CHECK(order.Sort({&first, &second, &third, &late}, TimeMs(10)) ==
        std::vector<std::size_t>{1, 2, 0, 3});
}

// Fails if a tenant that was away may take the engine until it has caught up.
TEST_CASE("A tenant that has not waited is owed little",
          "[fleet][prompts][fair]") {
  FairOrder order;
  const auto busy = Prompt(1, "busy", TimeMs(700));
  for (int i = 0; i < 200; ++i) {
    order.OnAdmitted(busy);
    order.Rebase({&busy}, TimeMs(0));
  }
  const auto back = Prompt(3, "back", TimeMs(650));
  int admitted = 0;
  while (order.Sort({&back, &busy}, TimeMs(0)).front() == 0) {
    order.OnAdmitted(back);
    ++admitted;
    REQUIRE(admitted < 10);
  }
}

// Fails if a prompt that was admitted and not sent counts as served.
TEST_CASE("An admission that is not used costs its tenant nothing",
          "[fleet][prompts][fair]") {
  PromptQueue queue;
  const PrefillLoad idle{4, 16, DurationMs(0)};
  const PrefillLoad busy{4, 16, DurationMs(400)};
  queue.Enqueue(Prompt(9, "other", TimeMs(9'000)), busy, TimeMs(0));
  for (std::uint64_t i = 10; i < 15; ++i) {
    const TimeMs now(static_cast<std::int64_t>(i - 10) * 100);
    REQUIRE(queue.Quote(Prompt(i, "unlucky", TimeMs(800)), idle, now) ==
            DurationMs(0));
  }
  queue.Enqueue(Prompt(20, "unlucky", TimeMs(800)), busy, TimeMs(490));
  const auto admitted = queue.Admit(idle, TimeMs(600));
  REQUIRE(!admitted.empty());
  CHECK(admitted.front().number == 20);
}

}  // namespace yuccamoor::fleet
