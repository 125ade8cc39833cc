/// \file
/// \brief Implementation of the benchmark's workload.

#include "workload.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <pcg_random.hpp>
#include <random>
#include <string>

namespace yuccamoor::placement_benchmark {
namespace {

constexpr std::uint32_t kPowerCutCallers = 3'000;
constexpr DurationMs kPowerCutSpan{1'000};
constexpr DurationMs kPowerCutDeadline{120'000};
constexpr std::uint32_t kMostTokens = 160;

/// Time that callers of each class wait for a whole answer.
DurationMs Patience(Priority priority) {
  switch (priority) {
    case Priority::kInteractive:
      return DurationMs(20'000);
    case Priority::kNormal:
      return DurationMs(30'000);
    case Priority::kBackground:
      return DurationMs(60'000);
  }
  return DurationMs(30'000);
}

Priority DrawPriority(pcg64* random) {
  constexpr double kInteractiveShare = 0.6;
  constexpr double kNormalShare = 0.25;
  const double draw = std::uniform_real_distribution<>(0, 1)(*random);
  if (draw < kInteractiveShare) return Priority::kInteractive;
  if (draw < kInteractiveShare + kNormalShare) return Priority::kNormal;
  return Priority::kBackground;
}

/// Draws ranks by popularity.
class RankSource {
 public:
  explicit RankSource(const Scenario& scenario)
      : m_cumulative(ZipfShares(scenario.adapters, scenario.skew)) {
    std::partial_sum(m_cumulative.begin(), m_cumulative.end(),
                     m_cumulative.begin());
  }

  std::uint32_t Draw(pcg64* random) const {
    const double draw = std::uniform_real_distribution<>(0, 1)(*random);
    const auto found =
        std::upper_bound(m_cumulative.begin(), m_cumulative.end(), draw);
    const auto rank = std::distance(m_cumulative.begin(), found);
    const auto last = static_cast<std::ptrdiff_t>(m_cumulative.size()) - 1;
    return static_cast<std::uint32_t>(std::min(rank, last));
  }

 private:
  std::vector<double> m_cumulative;
};

std::vector<TargetIndex> DrawOrder(std::uint32_t count, pcg64* random) {
  std::vector<TargetIndex> order(count);
  std::iota(order.begin(), order.end(), 0U);
  std::shuffle(order.begin(), order.end(), *random);
  return order;
}

std::vector<TimeMs> DrawArrivals(const Scenario& scenario, pcg64* random) {
  std::vector<TimeMs> arrivals;
  if (scenario.kind == ScenarioKind::kPowerCut) {
    std::uniform_int_distribution<std::int64_t> moment(0, kPowerCutSpan.ms());
    for (std::uint32_t i = 0; i < kPowerCutCallers; ++i) {
      arrivals.emplace_back(moment(*random));
    }
    std::sort(arrivals.begin(), arrivals.end());
    return arrivals;
  }
  constexpr double kMsPerSecond = 1'000;
  std::exponential_distribution<> gap(RequestRate(scenario) / kMsPerSecond);
  const auto end = static_cast<double>(scenario.duration.ms());
  for (double at = gap(*random); at < end; at += gap(*random)) {
    arrivals.emplace_back(static_cast<std::int64_t>(at));
  }
  return arrivals;
}

}  // namespace

Workload MakeWorkload(const Scenario& scenario) {
  pcg64 random(scenario.seed);
  Workload workload;
  for (std::uint32_t i = 0; i < scenario.adapters; ++i) {
    workload.targets.push_back(
        {AdapterId("adapter-" + std::to_string(i)), VersionId("v1")});
    workload.index_of.emplace(workload.targets.back(), i);
    workload.priorities.push_back(DrawPriority(&random));
  }
  const RankSource ranks(scenario);
  const std::vector<TargetIndex> first = DrawOrder(scenario.adapters, &random);
  const std::vector<TargetIndex> second = DrawOrder(scenario.adapters, &random);
  const TimeMs half = TimeMs() + scenario.duration / 2;
  std::uniform_int_distribution<std::uint32_t> tokens(kLeastTokens,
                                                      kMostTokens);
  for (const TimeMs arrival : DrawArrivals(scenario, &random)) {
    const bool shifted =
        scenario.kind == ScenarioKind::kPopularityShift && arrival >= half;
    CallerRequest request;
    request.arrival = arrival;
    request.target = (shifted ? second : first)[ranks.Draw(&random)];
    request.tokens = tokens(random);
    const bool power_cut = scenario.kind == ScenarioKind::kPowerCut;
    request.deadline =
        arrival + (power_cut ? kPowerCutDeadline
                             : Patience(workload.priorities[request.target]));
    workload.requests.push_back(request);
  }
  return workload;
}

}  // namespace yuccamoor::placement_benchmark
