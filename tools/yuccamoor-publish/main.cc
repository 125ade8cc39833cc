/// \file
/// \brief Checks operators' files and puts them in force.

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "collect_files.h"
#include "report.h"
#include "yuccamoor/coordination/config/publisher.h"
#include "yuccamoor/protocol/config/config_schema.h"
#include "yuccamoor/protocol/config/config_text.h"
#include "yuccamoor/protocol/config/json_config_codec.h"
#include "yuccamoor/transport/config/kv_connection.h"

namespace yuccamoor {
namespace {

/// Old segments are collected after every so many revisions.
constexpr std::uint64_t kCollectionInterval = 16;

/// The command line.
struct Options {
  std::vector<std::string> paths;
  std::vector<std::string> removals;
  std::string key_value_service;
  std::string publisher = "operator";
  double timeout_seconds = 30;
  bool check = false;
  bool diff = false;
  bool dry_run = false;
  bool json = false;
  bool schema = false;
};

void AddOptions(CLI::App& app, Options& options) {
  app.add_option("paths", options.paths,
                 "Files, and folders to search for *.yuccamoor.json");
  app.add_option("--kv", options.key_value_service,
                 "The key-value service, as ip:port");
  app.add_option("--publisher", options.publisher,
                 "Your name, shown to those who publish at the same time");
  app.add_option("--remove", options.removals,
                 "Owners whose part is to be removed");
  app.add_option("--timeout", options.timeout_seconds,
                 "Seconds to go on trying")
      ->check(CLI::Range(0.1, 3'600.0));
  app.add_flag("--check", options.check,
               "Only check; with --kv also against what is in force");
  app.add_flag("--diff", options.diff, "Only show what would change");
  app.add_flag("--dry-run", options.dry_run,
               "Check against what is in force and show what would change");
  app.add_flag("--json", options.json, "Write the report as JSON");
  app.add_flag("--schema", options.schema,
               "Write the description of the files' fields, and end");
}

PublishRequest MakeRequest(const Options& options, ConfigDraft draft) {
  PublishRequest request;
  request.publisher = PublisherId(options.publisher);
  request.nonce = MakePublisherNonce();
  request.change.draft = std::move(draft);
  for (const std::string& owner : options.removals) {
    request.change.removals.emplace_back(owner);
  }
  request.dry_run = options.check || options.diff || options.dry_run;
  return request;
}

PublishOutcome Publish(const Options& options, ConfigDraft draft) {
  constexpr double kMsPerSecond = 1'000;
  const JsonConfigCodec codec;
  const DurationMs timeout(
      static_cast<std::int64_t>(options.timeout_seconds * kMsPerSecond));
  KvConnection connection(options.key_value_service);
  PublishOutcome outcome = connection.Publish(
      MakeRequest(options, std::move(draft)), codec, timeout);
  if (outcome.status == PublishStatus::kAccepted &&
      outcome.revision.value() % kCollectionInterval == 0) {
    connection.CollectSegments(codec, timeout);
  }
  return outcome;
}

/// Checks the files with each other alone.
PublishOutcome CheckAlone(const ConfigDraft& draft) {
  ConfigUnits units;
  ApplyChange({draft, {}}, units);
  PublishOutcome outcome;
  outcome.findings = CheckUnits(units);
  outcome.status = outcome.findings.empty() ? PublishStatus::kWouldPublish
                                            : PublishStatus::kInvalid;
  return outcome;
}

PublishOutcome Invalid(const Findings& findings) {
  PublishOutcome outcome;
  outcome.status = PublishStatus::kInvalid;
  outcome.findings = findings;
  return outcome;
}

PublishOutcome RunPublication(const Options& options) {
  const auto files = CollectFiles(options.paths);
  if (files.has_error()) return Invalid(files.error());
  auto draft = LoadConfigFiles(files.value());
  if (draft.has_error()) return Invalid(draft.error());
  if (options.key_value_service.empty()) return CheckAlone(draft.value());
  return Publish(options, std::move(draft.value()));
}

/// Returns what is wrong with the command line, or nothing.
std::string UsageError(const Options& options) {
  if (options.paths.empty() && options.removals.empty()) {
    return "name files or folders to publish, or owners to --remove";
  }
  if (options.key_value_service.empty() && !options.check) {
    return "name the key-value service with --kv, or use --check";
  }
  if (!options.key_value_service.empty() &&
      !IsConfigAddress(options.key_value_service)) {
    return "--kv wants ip:port with the IP address in numbers";
  }
  if (!IsConfigName(options.publisher)) {
    return "--publisher wants 1 to 64 letters, digits, '.', '_' or '-'";
  }
  return {};
}

int Main(int argc, char** argv) {
  CLI::App app("Checks yuccamoor's configuration files and publishes them",
               "yuccamoor-publish");
  Options options;
  AddOptions(app, options);
  app.footer(kExitCodesHelp);
  CLI11_PARSE(app, argc, argv);
  if (options.schema) {
    std::cout << SchemaAsMarkdown();
    return EXIT_SUCCESS;
  }
  const std::string error = UsageError(options);
  if (!error.empty()) {
    std::cerr << "yuccamoor-publish: " << error << '\n';
    return kExitUsage;
  }
  const PublishOutcome outcome = RunPublication(options);
  const ReportStyle style{options.json, options.diff || options.dry_run};
  return Report(outcome, style, std::cout, std::cerr);
}

}  // namespace
}  // namespace yuccamoor

int main(int argc, char** argv) { return yuccamoor::Main(argc, argv); }
