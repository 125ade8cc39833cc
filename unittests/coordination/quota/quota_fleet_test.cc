/// \file
/// \brief Property tests of quotas over all nodes: what all nodes let through
/// stays within the quota, whatever is cut, lost, late or restarted.

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <optional>

#include "coordination/quota/quota_world.h"

namespace yuccamoor::fleet {
namespace {

constexpr DurationMs kWindow{8'000};
// What a window may hold above its quota.
constexpr double kOverage = 0.1;
constexpr double kLargestRequest = 7'000;
constexpr double kRate = 60'000;

QuotaSpec TokenQuota(double rate) {
  QuotaSpec quota;
  quota.unit = QuotaUnit::kTokens;
  quota.rate_per_second = rate;
  quota.burst = rate;
  return quota;
}

double BoundOf(const QuotaSpec& quota) {
  constexpr double kMsPerSecond = 1'000;
  const double window = static_cast<double>(kWindow.ms()) / kMsPerSecond;
  return (quota.rate_per_second * window + quota.burst) * (1 + kOverage) +
         kLargestRequest;
}

// Runs the world for a while. \p send is called for each step.
template <class Send>
void Run(QuotaWorld& world, DurationMs time, const Send& send) {
  const TimeMs end = world.now() + time;
  while (world.now() < end) {
    send();
    world.Step();
  }
}

void Idle() {}

// Does one thing to one of the nodes 0 to \p nodes - 1.
void Disturb(QuotaWorld& world, int nodes) {
  const int node =
      static_cast<int>(world.random()() % static_cast<std::uint64_t>(nodes));
  switch (world.random()() % 12) {
    case 0:
      world.End(node);
      break;
    case 1:
    case 2:
      if (!world.IsUp(node)) world.Start(node);
      break;
    case 3:
      world.CutFromStore(node, true);
      break;
    case 4:
      world.CutFromNodes(node, true);
      break;
    case 5:
      world.Freeze(node, true);
      break;
    case 6:
      world.SetLoss(world.Draw() * 0.3);
      break;
    case 9:
    case 10:
      // A loss of power, longer or shorter than leases last.
      for (int other = 0; other < nodes; ++other) world.End(other);
      Run(world, DurationMs(world.Draw() < 0.5 ? 500 : 4'000), Idle);
      for (int other = 0; other < nodes; ++other) {
        world.Start(other);
        Run(world, DurationMs(200), [&] { world.Request(other, 1'000); });
      }
      break;
    case 11:
      // Views of the registered nodes differ.
      for (int other = 0; other < nodes; ++other) {
        world.CutFromStore(other, world.Draw() < 0.5);
      }
      world.End(node);
      break;
    case 7:
      for (int other = 0; other < nodes; ++other) {
        if (world.Draw() < 0.5) continue;
        world.CutFromStore(other, world.Draw() < 0.3);
        world.CutFromNodes(other, world.Draw() < 0.3);
        world.Freeze(other, false);
      }
      break;
    default:
      world.CutFromStore(node, false);
      world.CutFromNodes(node, false);
      world.Freeze(node, false);
      break;
  }
}

// Plays one schedule and returns the most units used in a window.
double PlaySchedule(std::uint64_t seed) {
  QuotaWorld world(seed);
  world.SetQuota(TokenQuota(kRate));
  world.SetLate(seed % 2 == 0 ? 0.02 : 0);
  const int first = 2 + static_cast<int>(seed % 5);
  for (int node = 0; node < first; ++node) world.Start(node);
  Run(world, DurationMs(5'000), Idle);
  int nodes = first;
  // From one disturbance in the whole schedule to one each second.
  const double trouble = 0.0007 + 0.02 * world.Draw() * world.Draw();
  Run(world, DurationMs(30'000), [&] {
    if (world.Draw() < trouble) Disturb(world, nodes);
    // The fleet grows to twice its size at most.
    if (nodes < 2 * first && world.Draw() < 0.002) world.Start(nodes++);
    const int busy = static_cast<int>(world.random()() % 5);
    for (int i = 0; i < busy; ++i) {
      const int node = static_cast<int>(world.random()() %
                                        static_cast<std::uint64_t>(nodes));
      world.Request(
          node, 200 + world.Draw() * world.Draw() * (kLargestRequest - 200));
    }
  });
  return world.MostUsed(kWindow);
}

// By hand: YUCCAMOOR_QUOTA_SCHEDULES=10000 coordination_tests "[quota]".
std::uint64_t Schedules() {
  const char* text = std::getenv("YUCCAMOOR_QUOTA_SCHEDULES");
  return text ? std::strtoull(text, nullptr, 10) : 150;
}

}  // namespace

TEST_CASE("All nodes together stay within a quota, whatever fails",
          "[fleet][quota]") {
  for (std::uint64_t seed = 1; seed <= Schedules(); ++seed) {
    CAPTURE(seed);
    REQUIRE(PlaySchedule(seed) <= BoundOf(TokenQuota(kRate)));
  }
}

// An even split among the nodes refuses a tenant whose clients are connected to
// a few of them.
TEST_CASE("A quota is served in calm although one node has all the clients",
          "[fleet][quota]") {
  QuotaWorld world(1);
  world.SetQuota(TokenQuota(kRate));
  constexpr int kNodes = 75;
  for (int node = 0; node < kNodes; ++node) world.Start(node);
  Run(world, DurationMs(6'000), Idle);
  const TimeMs from = world.now();
  Run(world, DurationMs(20'000), [&] {
    // Twice the quota, of which one node has nearly all.
    for (int i = 0; i < 2; ++i) {
      world.Request(world.Draw() < 0.9 ? 0 : 7, 1'200);
    }
  });
  const double served = world.UsedBetween(from, world.now());
  CHECK(served >= 0.95 * kRate * 20);
  CHECK(world.MostUsed(kWindow) <= BoundOf(TokenQuota(kRate)));
  CHECK(world.refused() > 0);
}

TEST_CASE("A tenant below its quota is not refused in calm", "[fleet][quota]") {
  QuotaWorld world(2);
  world.SetQuota(TokenQuota(kRate));
  constexpr int kNodes = 30;
  for (int node = 0; node < kNodes; ++node) world.Start(node);
  Run(world, DurationMs(6'000), Idle);
  Run(world, DurationMs(20'000), [&] {
    // Just over half of the quota, in clumps.
    if (world.now().ms() % 100 != 0) return;
    for (int i = 0; i < 3; ++i) {
      world.Request(static_cast<int>(world.random()() % kNodes), 1'100);
    }
  });
  CHECK(world.refused() == 0);
}

TEST_CASE("What a tenant has saved up is served at once", "[fleet][quota]") {
  QuotaWorld world(5);
  world.SetQuota(TokenQuota(kRate));
  for (int node = 0; node < 5; ++node) world.Start(node);
  Run(world, DurationMs(6'000), Idle);
  const TimeMs from = world.now();
  for (int i = 0; i < 50; ++i) world.Request(0, 1'000);
  Run(world, DurationMs(200), Idle);
  CHECK(world.UsedBetween(from, world.now()) == 50'000);
}

TEST_CASE("A quota that is lowered holds within a window", "[fleet][quota]") {
  QuotaWorld world(3);
  world.SetQuota(TokenQuota(kRate));
  constexpr int kNodes = 10;
  for (int node = 0; node < kNodes; ++node) world.Start(node);
  const auto send = [&] {
    for (int i = 0; i < 2; ++i) {
      world.Request(static_cast<int>(world.random()() % kNodes), 1'200);
    }
  };
  Run(world, DurationMs(6'000), Idle);
  Run(world, DurationMs(6'000), send);
  const QuotaSpec lower = TokenQuota(kRate / 10);
  world.SetQuota(lower);
  const TimeMs lowered = world.now();
  Run(world, DurationMs(8'000), send);
  CHECK(world.UsedBetween(lowered + DurationMs(1'000), world.now()) <=
        BoundOf(lower));
}

// All tenants would be refused until an issuer was found again.
TEST_CASE("A quota is served again soon after its issuer has ended",
          "[fleet][quota]") {
  QuotaWorld world(4);
  world.SetQuota(TokenQuota(kRate));
  constexpr int kNodes = 10;
  for (int node = 0; node < kNodes; ++node) world.Start(node);
  Run(world, DurationMs(6'000), Idle);
  for (int node = 0; node < kNodes; ++node) {
    CAPTURE(node);
    world.End(node);
    Run(world, DurationMs(4'000), Idle);
    const double refused = world.refused();
    Run(world, DurationMs(1'000),
        [&] { world.Request((node + 1) % kNodes, 500); });
    CHECK(world.refused() == refused);
    world.Start(node);
    Run(world, DurationMs(4'000), Idle);
  }
}

}  // namespace yuccamoor::fleet
