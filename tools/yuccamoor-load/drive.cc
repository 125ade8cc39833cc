/// \file
/// \brief Runs a planned workload in real time.

#include "drive.h"

#include <atomic>
#include <memory>

#include "yuccamoor/transport/worker_pool.h"

namespace yuccamoor {
namespace {

constexpr DurationMs kPauseWhenFull(1);
constexpr DurationMs kPauseForTheLast(10);

}  // namespace

Awaitable<void> Drive(WorkerPool& pool, const Clock& clock, Workload& workload,
                      Caller& caller, std::size_t max_in_flight) {
  const TimeMs begin = clock.Now();
  const auto in_flight = std::make_shared<std::atomic<std::size_t>>(0);
  while (const auto call = workload.Next()) {
    const TimeMs planned = begin + call->at;
    const DurationMs wait = planned - clock.Now();
    if (wait > DurationMs(0)) co_await SleepFor(wait);
    while (*in_flight >= max_in_flight) co_await SleepFor(kPauseWhenFull);
    ++*in_flight;
    pool.Spawn([&caller, in_flight, planned,
                planned_call = *call]() -> Awaitable<void> {
      co_await caller.Make(planned_call, planned);
      --*in_flight;
    });
  }
  while (*in_flight > 0) co_await SleepFor(kPauseForTheLast);
}

}  // namespace yuccamoor
