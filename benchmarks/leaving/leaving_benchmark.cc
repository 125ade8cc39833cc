/// \file
/// \brief Measures how long an endpoint that leaves still gets new requests,
/// with processes on loopback. Usage: leaving_benchmark

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

#include "process/cluster.h"

namespace yuccamoor {
namespace {

constexpr int kRounds = 5;
constexpr int kGateways = 8;
constexpr int kLeaving = 0;
/// Requests are watched for somewhat longer than the promised 3 s.
constexpr std::chrono::milliseconds kWatchTime(4'000);

using SteadyTime = std::chrono::steady_clock::time_point;

void CallThroughAll(Cluster& cluster) {
  HttpRequest request;
  request.target = "/services/booking/status";
  for (int i = 0; i < kGateways; ++i) {
    cluster.http().Call(cluster.Address("gateway" + std::to_string(i)),
                        request);
  }
}

/// Requests that have reached the leaving endpoint, refused ones too.
std::uint64_t Arrivals(Cluster& cluster) {
  const Json ledger = cluster.Ledger(kLeaving);
  return ledger.at("entries").size() +
         GetUnsigned(ledger.at("refused_while_leaving"));
}

/// Returns the milliseconds from \p leave to the last request that arrives.
double LastArrivalMs(void (*leave)(Cluster& cluster)) {
  ClusterShape shape;
  shape.gateways = kGateways;
  Cluster cluster(shape);
  cluster.Await("the endpoint is used", [&] {
    CallThroughAll(cluster);
    return Arrivals(cluster) > 0;
  });
  leave(cluster);
  const SteadyTime start = std::chrono::steady_clock::now();
  SteadyTime last = start;
  std::uint64_t arrivals = Arrivals(cluster);
  while (std::chrono::steady_clock::now() < start + kWatchTime) {
    CallThroughAll(cluster);
    const std::uint64_t now_arrived = Arrivals(cluster);
    if (now_arrived == arrivals) continue;
    arrivals = now_arrived;
    last = std::chrono::steady_clock::now();
  }
  return std::chrono::duration<double, std::milli>(last - start).count();
}

void Measure(const char* name, void (*leave)(Cluster& cluster)) {
  std::vector<double> times;
  times.reserve(kRounds);
  for (int i = 0; i < kRounds; ++i) times.push_back(LastArrivalMs(leave));
  std::sort(times.begin(), times.end());
  std::printf("%s rounds=%d min_ms=%.0f median_ms=%.0f max_ms=%.0f\n", name,
              kRounds, times.front(), times[times.size() / 2], times.back());
}

void LeaveByList(Cluster& cluster) {
  cluster.ListVms("vm-service" + std::to_string(kLeaving));
}

void LeaveByOwnWord(Cluster& cluster) {
  cluster.SetFaults("service" + std::to_string(kLeaving),
                    Json{{"leaving", true}});
}

}  // namespace
}  // namespace yuccamoor

int main() {
  yuccamoor::Measure("by_vm_list", yuccamoor::LeaveByList);
  yuccamoor::Measure("by_own_word", yuccamoor::LeaveByOwnWord);
  return 0;
}
