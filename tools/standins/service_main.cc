/// \file
/// \brief Program of the stand-in for a plain service.

#include <CLI/CLI.hpp>
#include <memory>

#include "yuccamoor/standins/plain_service_stand_in.h"
#include "yuccamoor/standins/stand_in_program.h"

int main(int argc, char** argv) {
  using namespace yuccamoor;  // NOLINT(google-build-using-namespace)
  CLI::App app("Stand-in for a plain service", "yuccamoor-standin-service");
  StandInProgramOptions program;
  AddStandInOptions(app, program);
  std::string endpoint = "endpoint-0";
  app.add_option("--endpoint", endpoint, "The endpoint's id");
  return RunStandIn(app, argc, argv, program, [&](WorkerPool&, HttpClient&) {
    return std::make_unique<PlainServiceStandIn>(EndpointId(endpoint));
  });
}
