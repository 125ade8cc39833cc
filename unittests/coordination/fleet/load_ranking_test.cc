/// \file
/// \brief Tests of the load order with a weight store at its maximum rate.

#include "yuccamoor/coordination/fleet/load_ranking.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <random>
#include <vector>

namespace yuccamoor::fleet {
namespace {

constexpr DurationMs kLoadTime{250};
constexpr DurationMs kOnTimeLimit{650};
constexpr DurationMs kMaxWait{3'000};
// Concurrent loads of the weight store.
constexpr int kConcurrentLoads = 8;
// Ratio of requested adapters to those that the weight store can deliver.
constexpr double kOverload = 1.3;

using Before =
    std::function<bool(const LoadDemand&, const LoadDemand&, TimeMs ready)>;

bool FirstComeFirstServed(const LoadDemand& first, const LoadDemand& second,
                          TimeMs /*ready*/) {
  return first.first_requested_at < second.first_requested_at;
}

// Simulates one minute in which every request needs a different adapter.
// Returns the fraction of requests whose adapter was loaded on time.
double OnTimeFraction(const Before& before, std::uint32_t seed) {
  constexpr int kEndMs = 60'000;
  std::mt19937 random(seed);
  std::exponential_distribution<double> distances(
      kOverload * kConcurrentLoads / static_cast<double>(kLoadTime.ms()));
  std::vector<LoadDemand> waiting;
  double next_ms = 0;
  std::vector<TimeMs> free_at(kConcurrentLoads);
  int all = 0;
  int on_time = 0;
  for (int ms = 0; ms < kEndMs; ++ms) {
    const TimeMs now(ms);
    for (; next_ms <= ms; next_ms += distances(random)) {
      waiting.push_back({1, now + kOnTimeLimit, 0, now});
      ++all;
    }
    std::erase_if(waiting, [now](const LoadDemand& demand) {
      return now - demand.first_requested_at > kMaxWait;
    });
    for (TimeMs& free : free_at) {
      if (now < free || waiting.empty()) continue;
      free = now + kLoadTime;
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
  // Load pattern: right after the start or a loss of engines, a third more
  // adapters are requested than the weight store can deliver. At most 1 / 1.3
  // of the requests can be on time.
  for (std::uint32_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    CHECK(OnTimeFraction(LoadsBefore, seed) >= 0.65);
    CHECK(OnTimeFraction(FirstComeFirstServed, seed) <= 0.3);
  }
}

TEST_CASE("The adapter of more requests comes first", "[fleet][ranking]") {
  const LoadDemand one{1, TimeMs(500), 0, TimeMs(0)};
  const LoadDemand many{9, TimeMs(500), 0, TimeMs(100)};
  CHECK(LoadsBefore(many, one, TimeMs(300)));
  // Also if the requests are already late.
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
