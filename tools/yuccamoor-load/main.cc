/// \file
/// \brief Callers for trials: sends planned requests to gateways, checks every
/// answer and reports what it saw.

#include <CLI/CLI.hpp>
#include <fstream>
#include <future>
#include <iostream>
#include <random>

#include "aftermath.h"
#include "caller.h"
#include "drive.h"
#include "load_report.h"
#include "yuccamoor/standins/workload.h"
#include "yuccamoor/transport/http_client.h"
#include "yuccamoor/transport/worker_pool.h"

namespace yuccamoor {
namespace {

constexpr int kExitBreach = 1;
constexpr std::size_t kThreads = 2;

/// What the command line asks for, with durations in milliseconds.
struct CommandLine {
  std::string target_prefix = "adapter-";
  std::string version = "1";
  std::uint32_t targets = 100;
  std::int64_t duration_ms = 10'000;
  std::int64_t ramp_ms = 0;
  std::int64_t shift_at_ms = 0;
  std::int64_t timeout_ms = 30'000;
  std::size_t max_in_flight = 2'000;
  std::string json_file;
  WorkloadOptions workload;
  CallerOptions caller;
  AftermathOptions aftermath;
};

void AddOptions(CLI::App& app, CommandLine& line) {
  app.option_defaults()->always_capture_default();
  app.add_option("--gateway", line.caller.gateways, "Gateways, ip:port")
      ->required()
      ->delimiter(',');
  app.add_option("--target-prefix", line.target_prefix,
                 "Adapters are named PREFIX0, PREFIX1, ...");
  app.add_option("--version-name", line.version, "The adapters' version");
  app.add_option("--targets", line.targets, "Number of adapters")
      ->check(CLI::PositiveNumber);
  app.add_option("--duration-ms", line.duration_ms, "Time of new requests");
  app.add_option("--rate", line.workload.requests_per_second,
                 "Requests a second");
  app.add_option("--ramp-ms", line.ramp_ms, "Time until the full rate");
  app.add_option("--power-cut", line.workload.power_cut,
                 "Requests that all come at the start");
  app.add_option("--skew", line.workload.skew, "Exponent of Zipf's law");
  app.add_option("--shift-at-ms", line.shift_at_ms,
                 "When other adapters become the popular ones; 0: never");
  app.add_option("--charge-share", line.workload.charge_share,
                 "Share of charges among requests")
      ->check(CLI::Range(0.0, 1.0));
  app.add_option("--charge-path", line.caller.charge_path,
                 "Path of charges, /services/NAME/...");
  app.add_option("--max-tokens", line.caller.max_tokens, "Tokens of a reply");
  app.add_option("--max-sendings", line.caller.max_sendings,
                 "Sendings of one request");
  app.add_option("--timeout-ms", line.timeout_ms, "Longest wait for a piece");
  app.add_option("--max-in-flight", line.max_in_flight,
                 "Requests that may run at once; later ones are held back");
  app.add_option("--seed", line.workload.seed, "Seed of the plan");
  app.add_option("--engine", line.aftermath.engines,
                 "Engine stand-ins to read counters from, ip:port")
      ->delimiter(',');
  app.add_option("--endpoint", line.aftermath.endpoints,
                 "Plain service stand-ins to read ledgers from, ip:port")
      ->delimiter(',');
  app.add_option("--operator", line.aftermath.operators,
                 "Daemons to read metrics from, ip:port")
      ->delimiter(',');
  app.add_option("--json", line.json_file, "File for the report as JSON");
}

void Complete(CommandLine& line) {
  for (std::uint32_t i = 0; i < line.targets; ++i) {
    line.workload.targets.push_back(
        AdapterVersion{AdapterId(line.target_prefix + std::to_string(i)),
                       VersionId(line.version)});
  }
  line.workload.duration = DurationMs(line.duration_ms);
  line.workload.ramp = DurationMs(line.ramp_ms);
  line.workload.shift_at = DurationMs(line.shift_at_ms);
  line.caller.timeout = DurationMs(line.timeout_ms);
  line.caller.run = "load-" + std::to_string(std::random_device()()) + "-";
  line.aftermath.run = line.caller.run;
}

int Run(const CommandLine& line) {
  const SteadyClock clock;
  WorkerPool pool(kThreads);
  const auto client = HttpClient::Create(pool);
  LoadReport report;
  Workload workload(line.workload);
  Caller caller(*client, clock, line.caller, report);
  std::promise<void> finished;
  pool.Start();
  pool.Spawn([&]() -> Awaitable<void> {
    co_await Drive(pool, clock, workload, caller, line.max_in_flight);
    co_await ReadAftermath(*client, line.aftermath, report);
    finished.set_value();
  });
  finished.get_future().wait();
  pool.Stop();
  std::cout << report.ToTable();
  if (!line.json_file.empty()) {
    std::ofstream(line.json_file) << report.ToJsonText() << '\n';
  }
  return report.HasBreaches() ? kExitBreach : 0;
}

}  // namespace
}  // namespace yuccamoor

int main(int argc, char** argv) {
  yuccamoor::CommandLine line;
  CLI::App app("Callers for trials with stand-ins", "yuccamoor-load");
  app.footer(
      "Exit status: 0 if every answer was right, 1 if a promise was broken.");
  yuccamoor::AddOptions(app, line);
  CLI11_PARSE(app, argc, argv);
  yuccamoor::Complete(line);
  return yuccamoor::Run(line);
}
