/// \file
/// \brief Program of the stand-in for the platform's list of VMs.

#include <CLI/CLI.hpp>
#include <memory>

#include "yuccamoor/standins/stand_in_program.h"
#include "yuccamoor/standins/vm_list_stand_in.h"

int main(int argc, char** argv) {
  using namespace yuccamoor;  // NOLINT(google-build-using-namespace)
  CLI::App app("Stand-in for the platform's list of VMs",
               "yuccamoor-standin-vms");
  StandInProgramOptions program;
  AddStandInOptions(app, program);
  std::int64_t lag_ms = 0;
  app.add_option("--lag-ms", lag_ms, "Age of the list when it is read");
  return RunStandIn(app, argc, argv, program, [&](WorkerPool&, HttpClient&) {
    return std::make_unique<VmListStandIn>(DurationMs(lag_ms));
  });
}
