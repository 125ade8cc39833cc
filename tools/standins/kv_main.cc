/// \file
/// \brief Program of the stand-in for the platform's key-value service.

#include <CLI/CLI.hpp>
#include <memory>

#include "yuccamoor/standins/key_value_stand_in.h"
#include "yuccamoor/standins/stand_in_program.h"

int main(int argc, char** argv) {
  using namespace yuccamoor;  // NOLINT(google-build-using-namespace)
  CLI::App app("Stand-in for the platform's key-value service",
               "yuccamoor-standin-kv");
  StandInProgramOptions program;
  AddStandInOptions(app, program);
  KeyValueStandInOptions options;
  app.add_option("--writes-per-second", options.writes_per_second,
                 "Writes a second; 0: no limit");
  app.add_option("--reads-per-second", options.reads_per_second,
                 "Reads a second; 0: no limit");
  return RunStandIn(app, argc, argv, program, [&](WorkerPool&, HttpClient&) {
    return std::make_unique<KeyValueStandIn>(options);
  });
}
