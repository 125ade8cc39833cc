/// \file
/// \brief Program of the stand-in for the platform's weight store.

#include <CLI/CLI.hpp>
#include <memory>

#include "yuccamoor/standins/stand_in_program.h"
#include "yuccamoor/standins/weight_store_stand_in.h"

int main(int argc, char** argv) {
  using namespace yuccamoor;  // NOLINT(google-build-using-namespace)
  CLI::App app("Stand-in for the platform's weight store",
               "yuccamoor-standin-store");
  StandInProgramOptions program;
  AddStandInOptions(app, program);
  WeightStoreOptions options;
  std::int64_t load_ms = options.load_time.ms();
  app.add_option("--loads-per-second", options.loads_per_second,
                 "Loads a second; 0: no limit");
  app.add_option("--burst", options.burst, "Loads at once within the rate");
  app.add_option("--full-speed-in-flight", options.full_speed_in_flight,
                 "Loads that run at full speed together");
  app.add_option("--load-ms", load_ms, "Time of one load at full speed");
  return RunStandIn(app, argc, argv, program, [&](WorkerPool&, HttpClient&) {
    options.load_time = DurationMs(load_ms);
    return std::make_unique<WeightStoreStandIn>(options);
  });
}
