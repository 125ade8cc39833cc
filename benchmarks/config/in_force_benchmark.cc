/// \file
/// \brief Measures how soon a change is in force on nine daemons, which run as
/// processes on loopback. Usage: config_in_force_benchmark

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

#include "process/cluster.h"
#include "process/publication.h"

namespace yuccamoor {
namespace {

constexpr int kChanges = 20;
constexpr int kGateways = 5;
constexpr int kSchedulers = 4;

using SteadyTime = std::chrono::steady_clock::time_point;

double MsBetween(SteadyTime from, SteadyTime to) {
  return std::chrono::duration<double, std::milli>(to - from).count();
}

std::uint64_t RevisionOf(Cluster& cluster, const std::string& daemon) {
  const std::string text = cluster.http().Get(
      cluster.Address(daemon + "/operator"), "/admin/status");
  const Json status = Json::parse(text, nullptr, false);
  return status.is_object() ? status.value("revision", std::uint64_t{0}) : 0;
}

/// Waits until every daemon reports the revision.
void AwaitInForce(Cluster& cluster, std::uint64_t revision) {
  for (const std::string& daemon : cluster.DaemonNames()) {
    while (RevisionOf(cluster, daemon) < revision) {
    }
  }
}

void Print(const char* name, std::vector<double> times) {
  std::sort(times.begin(), times.end());
  std::printf("%s changes=%zu min_ms=%.0f median_ms=%.0f max_ms=%.0f\n", name,
              times.size(), times.front(), times[times.size() / 2],
              times.back());
}

int Run() {
  ClusterShape shape;
  shape.gateways = kGateways;
  shape.schedulers = kSchedulers;
  Cluster cluster(shape);
  std::vector<double> since_start;
  std::vector<double> since_accepted;
  for (int i = 0; i < kChanges; ++i) {
    const auto start = std::chrono::steady_clock::now();
    Publication publication(cluster, "owner", "change-" + std::to_string(i));
    if (!publication.Accepted()) return 1;
    const auto accepted = std::chrono::steady_clock::now();
    AwaitInForce(cluster, publication.Revision());
    const auto end = std::chrono::steady_clock::now();
    since_start.push_back(MsBetween(start, end));
    since_accepted.push_back(MsBetween(accepted, end));
  }
  Print("since_publisher_start", since_start);
  Print("since_accepted", since_accepted);
  return 0;
}

}  // namespace
}  // namespace yuccamoor

int main() { return yuccamoor::Run(); }
