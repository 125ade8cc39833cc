/// \file
/// \brief Measures a decision's time and a policy's memory at rising sizes of
/// a cell.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <pcg_random.hpp>
#include <string>
#include <utility>
#include <vector>

#include "yuccamoor/coordination/placement/weighted_policy.h"
#include "yuccamoor/state/cell_state.h"

namespace yuccamoor::placement_benchmark {
namespace {

constexpr std::uint32_t kSlots = 8;
constexpr std::uint32_t kBatchCapacity = 16;
/// Targets that wait, for each worker.
constexpr std::uint32_t kWaitingPerWorker = 4;
constexpr int kDecisions = 2'000;
constexpr DurationMs kStep{100};

struct CellSize {
  std::uint32_t workers;
  std::uint32_t adapters;
};

AdapterVersion Target(std::uint32_t number) {
  return {AdapterId("adapter-" + std::to_string(number)), VersionId("v1")};
}

CellState MakeCell(const CellSize& size, pcg32* random) {
  CellState state;
  state.weights = {1, 0.5};
  state.store = {2.5, 1, 1, 0, 8, DurationMs(250)};
  std::uint32_t next = 0;
  for (std::uint32_t w = 0; w < size.workers; ++w) {
    WorkerState worker;
    worker.id = WorkerId("worker-" + std::to_string(w));
    worker.slots = kSlots;
    worker.batch_capacity = kBatchCapacity;
    worker.usable = true;
    for (std::uint32_t s = 0; s < kSlots; ++s) {
      SlotState slot;
      slot.target = Target(next++);
      slot.phase = SlotPhase::kReady;
      slot.running = (*random)(2);
      worker.running += slot.running;
      worker.occupied.push_back(slot);
    }
    state.workers.push_back(worker);
  }
  return state;
}

void SetWaiting(CellState* state, const CellSize& size, TimeMs now,
                pcg32* random) {
  state->waiting.clear();
  for (std::uint32_t i = 0; i < size.workers * kWaitingPerWorker; ++i) {
    WaitingTarget waiting;
    waiting.target = Target((*random)(size.adapters));
    waiting.waiters = 1 + (*random)(3);
    waiting.since = now - DurationMs((*random)(5'000));
    waiting.deadline = now + DurationMs(10'000 + (*random)(20'000));
    state->waiting[waiting.target] = waiting;
  }
}

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

/// Returns the median time of a decision in microseconds.
double TimeDecisions(const CellSize& size, double tokens) {
  pcg32 random(5);
  CellState state = MakeCell(size, &random);
  state.store.tokens = tokens;
  const auto policy = std::move(WeightedPolicy::Create({}).value());
  TimeMs now(1'000'000);
  for (std::uint32_t i = 0; i < size.adapters; ++i) {
    policy->OnDemand(Target(i), 1 + random(4), now);
  }
  std::vector<double> times;
  for (int i = 0; i < kDecisions; ++i) {
    now = now + kStep;
    SetWaiting(&state, size, now, &random);
    const auto begin = std::chrono::steady_clock::now();
    const PlacementDecision decision = policy->Decide(state, now);
    const std::chrono::duration<double, std::micro> taken =
        std::chrono::steady_clock::now() - begin;
    times.push_back(taken.count());
    if (tokens >= 1 && decision.loads.empty()) times.pop_back();
  }
  return times.empty() ? 0 : Median(std::move(times));
}

void Report() {
  const WeightedOptions options;
  const FrequencySketch sketch(options.sketch_width, options.half_life);
  std::cout << "| workers | adapters | waiting targets | decision without "
               "budget us | decision with a load us | policy memory bytes |\n"
               "| --- | --- | --- | --- | --- | --- |\n";
  for (const CellSize& size : {CellSize{9, 3'000}, CellSize{36, 12'000},
                               CellSize{72, 85'000}, CellSize{144, 170'000}}) {
    std::cout << "| " << size.workers << " | " << size.adapters << " | "
              << size.workers * kWaitingPerWorker << " | "
              << TimeDecisions(size, 0) << " | " << TimeDecisions(size, 1)
              << " | " << sketch.Bytes() + sizeof(WeightedPolicy) << " |\n";
  }
}

}  // namespace
}  // namespace yuccamoor::placement_benchmark

int main() { yuccamoor::placement_benchmark::Report(); }
