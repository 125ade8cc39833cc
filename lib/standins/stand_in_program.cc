/// \file
/// \brief What the stand-in programs share.

#include "yuccamoor/standins/stand_in_program.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>

#include "yuccamoor/standins/stand_in.h"
#include "yuccamoor/transport/http_client.h"
#include "yuccamoor/transport/http_server.h"
#include "yuccamoor/transport/worker_pool.h"

namespace yuccamoor {
namespace {

constexpr int kExitFailure = 1;
constexpr std::size_t kThreads = 1;
constexpr std::size_t kMaxBodyBytes = 4'194'304;

/// Blocks the signals, for this thread and those that it starts.
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

/// Writes the port so that a reader sees either no file or the whole number.
void WritePortFile(const std::string& path, std::uint16_t port) {
  const std::string temporary = path + ".new";
  std::ofstream(temporary) << port << '\n';
  std::rename(temporary.c_str(), path.c_str());
}

int Serve(const StandInProgramOptions& options, const StandInFactory& make,
          const std::string& name) {
  const sigset_t signals = BlockStopSignals();
  WorkerPool pool(kThreads);
  const auto client = HttpClient::Create(pool);
  const std::unique_ptr<StandIn> stand_in = make(pool, *client);
  HttpServerOptions server_options;
  server_options.address = options.address;
  server_options.port = options.port;
  server_options.max_body_bytes = kMaxBodyBytes;
  const auto server = HttpServer::Create(pool, server_options,
                                         [&stand_in](HttpExchange& exchange) {
                                           return stand_in->Handle(exchange);
                                         });
  if (server.has_error()) {
    std::cerr << server.error().ToString();
    return kExitFailure;
  }
  pool.Start();
  const std::uint16_t port = server.value()->port();
  std::cerr << "event=listening program=" << name
            << " address=" << options.address << ':' << port << '\n';
  if (!options.port_file.empty()) WritePortFile(options.port_file, port);
  int received = 0;
  sigwait(&signals, &received);
  pool.Stop();
  return 0;
}

}  // namespace

void AddStandInOptions(CLI::App& app, StandInProgramOptions& options) {
  app.option_defaults()->always_capture_default();
  app.add_option("--address", options.address, "IP number to listen on");
  app.add_option("--port", options.port, "Port; 0 takes a free one");
  app.add_option("--port-file", options.port_file,
                 "File to write the port to once it is bound");
}

int RunStandIn(CLI::App& app, int argc, char** argv,
               const StandInProgramOptions& options,
               const StandInFactory& make) {
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error);
  }
  return Serve(options, make, app.get_name());
}

}  // namespace yuccamoor
