/// \file
/// \brief Measures what control costs as gateways, workers and grants grow.

#include <CLI/CLI.hpp>
#include <cstdio>
#include <string>

#include "cell_load.h"
#include "yuccamoor/transport/json_rpc.h"

namespace yuccamoor {
namespace {

constexpr std::size_t kRounds = 50;

void PrintHeader(const char* title) {
  std::printf("\n%s\n", title);
  std::printf("%9s %8s %7s %7s %9s %9s %9s %9s %9s %10s %11s\n", "gateways",
              "workers", "grants", "sync B", "update B", "renew us", "tick us",
              "report us", "client us", "leader KB", "session KB");
}

void PrintRow(const CellShape& shape) {
  constexpr double kKilobyte = 1'000;
  const CellCosts costs = MeasureCell(shape, kRounds);
  std::printf(
      "%9zu %8zu %7zu %7.0f %9.0f %9.1f %9.1f %9.1f %9.1f %10.1f %11.1f\n",
      shape.gateways, shape.workers, shape.grants_per_gateway, costs.sync_bytes,
      costs.update_bytes, costs.leader_renewal_us, costs.leader_tick_us,
      costs.leader_report_us, costs.gateway_renewal_us,
      static_cast<double>(costs.leader_bytes) / kKilobyte,
      static_cast<double>(costs.session_bytes) / kKilobyte);
}

/// What JSON-RPC adds to the parameters of a call and to its result.
void MeasureEnvelope() {
  const std::string parameters = "{}";
  JsonRpcDispatcher dispatcher;
  dispatcher.AddMethod("residency.sync",
                       [](const std::string&) { return std::string("{}"); });
  const std::string request =
      EncodeJsonRpcRequest("residency.sync", parameters);
  const std::string response = dispatcher.Handle(request);
  std::printf("\nJSON-RPC adds %zu B to a sync and %zu B to its answer\n",
              request.size() - parameters.size(),
              response.size() - parameters.size());
}

void MeasureGateways() {
  PrintHeader("more gateways on one cell");
  for (const std::size_t gateways : {9, 38, 113, 340}) {
    CellShape shape;
    shape.gateways = gateways;
    PrintRow(shape);
  }
}

void MeasureWorkers() {
  PrintHeader("more workers in one cell");
  for (const std::size_t workers : {9, 18, 36, 72}) {
    CellShape shape;
    shape.gateways = 38;
    shape.workers = workers;
    PrintRow(shape);
  }
}

void MeasureGrants() {
  PrintHeader("more grants for each gateway");
  for (const std::size_t grants : {8, 32, 64, 128}) {
    CellShape shape;
    shape.gateways = 38;
    shape.workers = 36;
    shape.grants_per_gateway = grants;
    PrintRow(shape);
  }
}

}  // namespace
}  // namespace yuccamoor

int main(int argc, char** argv) {
  CLI::App app("Measures what control costs as a cell grows.",
               "capacity_benchmark");
  CLI11_PARSE(app, argc, argv);
  yuccamoor::MeasureEnvelope();
  yuccamoor::MeasureGateways();
  yuccamoor::MeasureWorkers();
  yuccamoor::MeasureGrants();
  return 0;
}
