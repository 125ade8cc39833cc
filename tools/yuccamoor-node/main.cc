// The node of a fleet on a prepared platform: gateway, and holder of engines.

#include <unistd.h>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <optional>
#include <string>

#include "platform/engine_client.h"
#include "platform/request_dialect.h"
#include "platform/settings.h"
#include "platform/store_client.h"
#include "yuccamoor/coordination/fleet/resource_shares.h"
#include "yuccamoor/state/fleet/boot_clock.h"
#include "yuccamoor/transport/fleet/node.h"
#include "yuccamoor/transport/observability/repeat_filter.h"

namespace {

using yuccamoor::DurationMs;
using yuccamoor::LineLog;
using yuccamoor::MetricsRegistry;
using yuccamoor::RepeatFilter;
using yuccamoor::fleet::BootClock;
using yuccamoor::fleet::FleetView;
using yuccamoor::fleet::HttpCaller;
using yuccamoor::fleet::KeptBytes;
using yuccamoor::fleet::Node;
using yuccamoor::fleet::NodeContext;
using yuccamoor::fleet::NodeMetrics;
using yuccamoor::fleet::NodeSettings;
using yuccamoor::fleet::ResourceShares;
using yuccamoor::fleet::RevisionTimes;

// An entry that cannot be read is logged once in this time.
constexpr DurationMs kUnreadableLogPeriod{60'000};
// Exit status for settings or addresses that cannot be used.
constexpr int kBadSettings = 2;

// Runs the event loop to its end. A handler that fails ends with its own
// request or call, not with all the others of the process.
void RunLoop(boost::asio::io_context& io, LineLog& log) {
  for (;;) {
    try {
      io.run();
      return;
    } catch (const std::exception& error) {
      log.Event("handler_failed").Text("error", error.what());
    }
  }
}

int Run(const std::string& path, const NodeSettings& settings) {
  boost::asio::io_context io(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE_IO);
  const BootClock clock;
  LineLog log(clock, STDOUT_FILENO);
  MetricsRegistry registry(clock);
  NodeMetrics metrics(registry);
  FleetView view(
      RevisionTimes::For(settings.max_version_age,
                         settings.max_propagation_delay),
      settings.first_start ? std::make_optional(clock.Now()) : std::nullopt);
  const auto dialect = yuccamoor::platform::CreateRequestDialect();
  KeptBytes kept(io, clock, ResourceShares::For(settings).messages);
  NodeContext context{io, clock, settings, *dialect, view, log, metrics, kept};
  HttpCaller caller(io, clock, kept);
  yuccamoor::platform::StoreClient store(
      caller, settings.store_address,
      [&log, &clock, repeats = RepeatFilter(kUnreadableLogPeriod)](
          std::string_view key, const yuccamoor::Findings& findings) mutable {
        if (!repeats.IsDue(key, clock.Now())) return;
        log.Event("store_value_unreadable")
            .Text("key", key)
            .Text("findings", findings.ToString());
      });
  yuccamoor::platform::EngineClient engines(caller, settings.node);
  auto node = Node::Create(context, registry,
                           {store, engines, [&path] {
                              return yuccamoor::platform::ReadSettings(path);
                            }});
  if (!node) {
    std::cerr << node.error().ToString();
    return kBadSettings;
  }
  node.value()->Start();
  RunLoop(io, log);
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Serves requests of a fleet and gives orders to its engines.");
  std::string path;
  bool check = false;
  app.add_option("--settings", path, "Settings file")
      ->envname(yuccamoor::platform::kSettingsVariable)
      ->required();
  app.add_flag("--check", check, "Check the settings and exit");
  app.set_version_flag("--version", YUCCAMOOR_VERSION);
  CLI11_PARSE(app, argc, argv);
  const auto settings = yuccamoor::platform::ReadSettings(path);
  if (!settings) {
    std::cerr << settings.error().ToString();
    return kBadSettings;
  }
  if (check) return EXIT_SUCCESS;
  return Run(path, settings.value());
}
