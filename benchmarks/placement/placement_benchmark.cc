/// \file
/// \brief Measures placement policies beside each other in virtual time.

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "lower_bound.h"
#include "report.h"
#include "residency_bound.h"
#include "run.h"
#include "scenario.h"
#include "workload.h"
#include "yuccamoor/coordination/placement/naive_policy.h"
#include "yuccamoor/coordination/placement/weighted_policy.h"

namespace yuccamoor::placement_benchmark {
namespace {

struct Options {
  std::vector<std::string> deployments{"karabag", "atlas"};
  std::vector<std::string> scenarios;
  std::vector<std::uint32_t> slots{4};
  std::vector<double> skews{1.0};
  std::vector<double> loads{0.5, 1, 2, 4};
  std::uint64_t seed = 1;
  std::uint32_t seeds = 2;
  std::uint32_t seconds = 300;
  double load_stalls = -1;
  double batch_efficiency = -1;
  std::string json;
};

void Describe(CLI::App* app, Options* options) {
  app->add_option("--deployment", options->deployments, "karabag, atlas");
  app->add_option("--scenario", options->scenarios,
                  "steady, shift, power-cut, restarts, failing-loads, "
                  "kv-outage, leader-kill, domain-loss; all if not given");
  app->add_option("--slots", options->slots, "adapter slots of each worker");
  app->add_option("--skew", options->skews, "exponents of the popularity");
  app->add_option("--load", options->loads, "multiples of the store's rate");
  app->add_option("--seed", options->seed, "first seed");
  app->add_option("--seeds", options->seeds, "number of seeds")
      ->check(CLI::PositiveNumber);
  app->add_option("--seconds", options->seconds, "virtual time of a run");
  app->add_option("--load-stalls", options->load_stalls,
                  "weight in place of the deployment's");
  app->add_option("--batch-efficiency", options->batch_efficiency,
                  "weight in place of the deployment's");
  app->add_option("--json", options->json, "file for the results as JSON");
}

std::vector<std::pair<std::string, PolicyFactory>> Policies() {
  return {{"naive", [] { return std::move(NaivePolicy::Create({}).value()); }},
          {"weighted",
           [] { return std::move(WeightedPolicy::Create({}).value()); }}};
}

void AddBounds(const Scenario& scenario, const Workload& workload,
               ScenarioResult* result) {
  double stall_ms = LowerBoundMs(scenario, workload);
  double answered = 1;
  if (scenario.kind != ScenarioKind::kPowerCut) {
    const ResidencyBounds bounds = FindResidencyBounds(scenario, workload);
    stall_ms = std::max(stall_ms, bounds.stall_ms);
    answered = bounds.answered_share;
  }
  result->lower_bound_ms += stall_ms / result->seeds;
  result->answered_bound += answered / result->seeds;
}

ScenarioResult Measure(Scenario scenario, std::uint32_t seeds) {
  ScenarioResult result{scenario, seeds, 0, 0, {}};
  const auto policies = Policies();
  std::vector<Samples> samples(policies.size());
  for (std::uint32_t i = 0; i < seeds; ++i) {
    const Workload workload = MakeWorkload(scenario);
    AddBounds(scenario, workload, &result);
    for (std::size_t p = 0; p < policies.size(); ++p) {
      samples[p].Append(Play(scenario, workload, policies[p].second));
    }
    ++scenario.seed;
  }
  for (std::size_t p = 0; p < policies.size(); ++p) {
    result.policies.push_back({policies[p].first, MakeFigures(samples[p])});
  }
  return result;
}

std::vector<ScenarioKind> ChosenKinds(const Options& options) {
  std::vector<ScenarioKind> kinds;
  for (const ScenarioKind kind : AllScenarioKinds()) {
    const bool chosen =
        std::find(options.scenarios.begin(), options.scenarios.end(),
                  ToString(kind)) != options.scenarios.end();
    if (chosen || options.scenarios.empty()) kinds.push_back(kind);
  }
  return kinds;
}

Deployment ChosenDeployment(const std::string& name, const Options& options) {
  if (name != "karabag" && name != "atlas") {
    throw std::invalid_argument("unknown deployment: " + name);
  }
  Deployment deployment = name == "karabag" ? Karabag() : Atlas();
  if (options.load_stalls >= 0) {
    deployment.weights.load_stalls = options.load_stalls;
  }
  if (options.batch_efficiency >= 0) {
    deployment.weights.batch_efficiency = options.batch_efficiency;
  }
  return deployment;
}

/// Returns every combination of the options. A power cut has one load only.
std::vector<Scenario> MakeScenarios(const Options& options) {
  std::vector<Scenario> scenarios;
  Scenario scenario;
  scenario.seed = options.seed;
  scenario.duration = DurationMs(options.seconds * std::int64_t{1'000});
  for (const std::string& name : options.deployments) {
    scenario.deployment = ChosenDeployment(name, options);
    for (const ScenarioKind kind : ChosenKinds(options)) {
      scenario.kind = kind;
      const bool power_cut = kind == ScenarioKind::kPowerCut;
      const std::vector<double> loads =
          power_cut ? std::vector<double>{1} : options.loads;
      for (const std::uint32_t slots : options.slots) {
        for (const double skew : options.skews) {
          for (const double load : loads) {
            scenario.slots = slots;
            scenario.skew = skew;
            scenario.load_factor = load;
            scenarios.push_back(scenario);
          }
        }
      }
    }
  }
  return scenarios;
}

int Main(int argc, char** argv) {
  CLI::App app("Measures placement policies in virtual time");
  Options options;
  Describe(&app, &options);
  CLI11_PARSE(app, argc, argv);
  std::cout << "seeds " << options.seed << ".."
            << options.seed + options.seeds - 1 << '\n';
  WriteTableHead(std::cout);
  std::vector<ScenarioResult> results;
  for (const Scenario& scenario : MakeScenarios(options)) {
    results.push_back(Measure(scenario, options.seeds));
    WriteTableRows(std::cout, results.back());
  }
  if (!options.json.empty()) {
    std::ofstream file(options.json);
    WriteJson(file, results);
  }
  return 0;
}

}  // namespace
}  // namespace yuccamoor::placement_benchmark

int main(int argc, char** argv) {
  try {
    return yuccamoor::placement_benchmark::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 1;
  }
}
