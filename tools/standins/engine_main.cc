/// \file
/// \brief Program of the stand-in for a model engine.

#include <CLI/CLI.hpp>
#include <memory>

#include "yuccamoor/standins/engine_stand_in.h"
#include "yuccamoor/standins/stand_in_program.h"

int main(int argc, char** argv) {
  using namespace yuccamoor;  // NOLINT(google-build-using-namespace)
  CLI::App app("Stand-in for a model engine", "yuccamoor-standin-engine");
  StandInProgramOptions program;
  AddStandInOptions(app, program);
  EngineOptions options;
  std::string worker = "worker-0";
  std::string store;
  std::int64_t token_ms = options.token_time.ms();
  std::int64_t lag_ms = 0;
  app.add_option("--worker", worker, "The worker's id");
  app.add_option("--slots", options.slots, "Adapter slots");
  app.add_option("--batch", options.batch, "Streams that run together");
  app.add_option("--store", store, "The weight store, ip:port");
  app.add_option("--token-ms", token_ms, "Time of one token");
  app.add_option("--check-epoch", options.check_epoch,
                 "Whether orders with an old epoch are refused");
  app.add_option("--report-lag-ms", lag_ms, "Age of load reports");
  return RunStandIn(
      app, argc, argv, program, [&](WorkerPool& pool, HttpClient& client) {
        options.worker = WorkerId(worker);
        options.token_time = DurationMs(token_ms);
        options.report_lag = DurationMs(lag_ms);
        return std::make_unique<EngineStandIn>(pool, client, options, store);
      });
}
