/// \file
/// \brief Tests of the worker pool.

#include "yuccamoor/transport/worker_pool.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <stdexcept>

namespace yuccamoor {

TEST_CASE("A periodic task that throws runs again", "[worker_pool]") {
  WorkerPool pool(1);
  std::promise<void> second_run;
  std::atomic<int> runs{0};
  pool.Every(DurationMs(1), [&] {
    if (++runs == 1) throw std::runtime_error("first run");
    if (runs == 2) second_run.set_value();
  });
  pool.Start();
  constexpr auto kFarTooLong = std::chrono::seconds(30);
  CHECK(second_run.get_future().wait_for(kFarTooLong) ==
        std::future_status::ready);
  pool.Stop();
}

}  // namespace yuccamoor
