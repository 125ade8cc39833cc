/// \file
/// \brief Implementation of the lower bound.

#include "lower_bound.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <unordered_map>
#include <vector>

#include "cell_executor.h"
#include "fake_engine.h"

namespace yuccamoor::placement_benchmark {
namespace {

constexpr double kMsPerSecond = 1'000;
constexpr double kLoadMs = CellExecutor::kLoadTime.ms();
constexpr double kBurst = 1;

using WaitByTarget = std::unordered_map<TargetIndex, double>;

/// Returns the waiting left when the \p kept largest entries cost nothing.
double Unavoidable(const WaitByTarget& waits, std::size_t kept) {
  std::vector<double> sorted;
  sorted.reserve(waits.size());
  for (const auto& [target, wait] : waits) sorted.push_back(wait);
  std::sort(sorted.begin(), sorted.end(), std::greater<>());
  double sum = 0;
  for (std::size_t i = kept; i < sorted.size(); ++i) sum += sorted[i];
  return sum;
}

double WindowBound(const Scenario& scenario, const Workload& workload,
                   DurationMs window) {
  const double loads =
      std::floor(static_cast<double>(window.ms()) / kMsPerSecond *
                 scenario.deployment.loads_per_second) +
      kBurst;
  const auto kept = static_cast<std::size_t>(loads) +
                    std::size_t{scenario.deployment.workers} * scenario.slots;
  double total = 0;
  std::size_t measured = 0;
  WaitByTarget waits;
  TimeMs end = TimeMs() + scenario.warm_up + window;
  for (const CallerRequest& request : workload.requests) {
    if (request.arrival < TimeMs() + scenario.warm_up) continue;
    ++measured;
    while (request.arrival >= end) {
      total += Unavoidable(waits, kept);
      waits.clear();
      end = end + window;
    }
    const TimeMs until = std::min(end, request.deadline);
    waits[request.target] +=
        static_cast<double>((until - request.arrival).ms());
  }
  total += Unavoidable(waits, kept);
  return measured == 0 ? 0 : total / static_cast<double>(measured);
}

/// Returns the earliest times at which the first, second, third and so on
/// request can start by the store's rate: the largest crowds are loaded first.
std::vector<double> StartsByStore(const Scenario& scenario,
                                  const Workload& workload) {
  std::unordered_map<TargetIndex, std::size_t> crowds;
  for (const CallerRequest& request : workload.requests) {
    ++crowds[request.target];
  }
  std::vector<std::size_t> sorted;
  sorted.reserve(crowds.size());
  for (const auto& [target, callers] : crowds) sorted.push_back(callers);
  std::sort(sorted.begin(), sorted.end(), std::greater<>());
  std::vector<double> starts;
  starts.reserve(workload.requests.size());
  for (std::size_t i = 0; i < sorted.size(); ++i) {
    const double loaded_at = static_cast<double>(i) * kMsPerSecond /
                                 scenario.deployment.loads_per_second +
                             kLoadMs;
    starts.insert(starts.end(), sorted[i], loaded_at);
  }
  return starts;
}

/// Returns the same by the engines: beyond full batches each start takes an
/// end, and the shortest answers end first.
std::vector<double> StartsByEngines(const Scenario& scenario,
                                    const Workload& workload) {
  std::vector<double> tokens;
  tokens.reserve(workload.requests.size());
  for (const CallerRequest& request : workload.requests) {
    tokens.push_back(request.tokens);
  }
  std::sort(tokens.begin(), tokens.end());
  const double batch = scenario.batch_capacity;
  const double tokens_per_ms =
      scenario.deployment.workers * batch /
      (FakeEngine::kStepMs + FakeEngine::kStepMsPerRequest * batch);
  const std::size_t places =
      std::size_t{scenario.deployment.workers} * scenario.batch_capacity;
  std::vector<double> starts(tokens.size(), kLoadMs);
  double done = 0;
  for (std::size_t i = places; i < starts.size(); ++i) {
    done += tokens[i - places];
    starts[i] = kLoadMs + done / tokens_per_ms;
  }
  return starts;
}

double PowerCutBound(const Scenario& scenario, const Workload& workload) {
  const CallerRequest& first = workload.requests.front();
  const CallerRequest& last = workload.requests.back();
  const auto deadline =
      static_cast<double>((first.deadline - first.arrival).ms());
  const auto latest = static_cast<double>(last.arrival.ms());
  const std::vector<double> store = StartsByStore(scenario, workload);
  const std::vector<double> engines = StartsByEngines(scenario, workload);
  double total = 0;
  for (std::size_t i = 0; i < store.size(); ++i) {
    const double start = std::max(store[i], engines[i]);
    total += std::clamp(start - latest, 0.0, deadline);
  }
  return total / static_cast<double>(workload.requests.size());
}

}  // namespace

double LowerBoundMs(const Scenario& scenario, const Workload& workload) {
  if (workload.requests.empty()) return 0;
  if (scenario.kind == ScenarioKind::kPowerCut) {
    return PowerCutBound(scenario, workload);
  }
  double best = 0;
  for (const int seconds : {2, 5, 10, 20, 30, 45, 60, 90, 120}) {
    const DurationMs window(static_cast<std::int64_t>(seconds) * 1'000);
    best = std::max(best, WindowBound(scenario, workload, window));
  }
  return best;
}

}  // namespace yuccamoor::placement_benchmark
