/// \file
/// \brief Tests of the order of loads, against a weight store at its rate.

#include "yuccamoor/coordination/fleet/load_ranking.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <random>
#include <vector>

namespace yuccamoor::fleet {
namespace {

constexpr DurationMs kLoad{250};
constexpr DurationMs kOnTime{650};
constexpr DurationMs kPatience{3'000};
// Loads that the weight store carries out at once.
constexpr int kLoadsAtOnce = 8;
// Adapters asked for against those that it brings.
constexpr double kOverload = 1.3;

using Before =
    std::function<bool(const LoadDemand&, const LoadDemand&, TimeMs ready)>;

bool FirstCome(const LoadDemand& first, const LoadDemand& second,
               TimeMs /*ready*/) {
  return first.first_requested_at < second.first_requested_at;
}

// Plays a minute in which every request needs an adapter of its own, and
// returns the share of requests whose adapter came on time.
double ShareOnTime(const Before& before, std::uint32_t seed) {
  constexpr int kEndMs = 60'000;
  std::mt19937 random(seed);
  std::exponential_distribution<double> distances(
      kOverload * kLoadsAtOnce / static_cast<double>(kLoad.ms()));
  std::vector<LoadDemand> waiting;
  double next_ms = 0;
  std::vector<TimeMs> free_at(kLoadsAtOnce);
  int all = 0;
  int on_time = 0;
  for (int ms = 0; ms < kEndMs; ++ms) {
    const TimeMs now(ms);
    for (; next_ms <= ms; next_ms += distances(random)) {
      waiting.push_back({1, now + kOnTime, 0, now});
      ++all;
    }
    std::erase_if(waiting, [now](const LoadDemand& demand) {
      return now - demand.first_requested_at > kPatience;
    });
    for (TimeMs& free : free_at) {
      if (now < free || waiting.empty()) continue;
      free = now + kLoad;
      const auto next = std::min_element(
          waiting.begin(), waiting.end(),
          [&](const auto& a, const auto& b) { return before(a, b, free); });
      if (free <= next->ready_deadline) ++on_time;
      waiting.erase(next);
    }
  }
  return static_cast<double>(on_time) / all;
}

}  // namespace

TEST_CASE("Most requests are on time while the weight store is at its rate",
          "[fleet][ranking][load]") {
  // Pattern: right after the start or a loss of engines, a third more adapters
  // are asked for than the weight store brings. At most 1 / 1.3 of the requests
  // can be on time.
  for (std::uint32_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    CHECK(ShareOnTime(LoadsBefore, seed) >= 0.65);
    CHECK(ShareOnTime(FirstCome, seed) <= 0.3);
  }
}

TEST_CASE("The adapter of more requests comes first", "[fleet][ranking]") {
  const LoadDemand one{1, TimeMs(500), 0, TimeMs(0)};
  const LoadDemand many{9, TimeMs(500), 0, TimeMs(100)};
  CHECK(LoadsBefore(many, one, TimeMs(300)));
  // Also if these are late already.
  CHECK(LoadsBefore(many, one, TimeMs(501)));
}

TEST_CASE("Copies come after what clients wait for", "[fleet][ranking]") {
  const LoadDemand late{1, TimeMs(0), 1, TimeMs(0)};
  const LoadDemand copy{0, TimeMs(0), 0, TimeMs(0)};
  CHECK(LoadsBefore(late, copy, TimeMs(300)));
}

TEST_CASE("Less urgent requests come later, but many count more than one",
          "[fleet][ranking]") {
  const LoadDemand chat{1, TimeMs(500), 0, TimeMs(100)};
  const LoadDemand summary{1, TimeMs(500), 2, TimeMs(0)};
  const LoadDemand summaries{6, TimeMs(500), 2, TimeMs(0)};
  CHECK(LoadsBefore(chat, summary, TimeMs(300)));
  CHECK(LoadsBefore(summaries, chat, TimeMs(300)));
}

}  // namespace yuccamoor::fleet
