/// \file
/// \brief Implementation of the daemons' shared main.

#include "yuccamoor/transport/daemon/daemon_program.h"

#include <CLI/CLI.hpp>
#include <iostream>

#include "yuccamoor/transport/daemon/daemon.h"
#include "yuccamoor/transport/observability/log_event.h"
#include "yuccamoor/transport/observability/program_options.h"

namespace yuccamoor {
namespace {

int RunUntilSignal(RunningDaemon& daemon, const std::string& port_file) {
  WritePortFile(port_file, daemon.Ports());
  for (const auto& [listener, port] : daemon.Ports()) {
    LogEvent("listening").Field("listener", listener).Field("port", port);
  }
  WaitForShutdownSignal();
  LogEvent("shutdown").Field("phase", "started");
  const bool whole = daemon.Shutdown();
  LogEvent("shutdown").Field("phase", "ended").Field("whole", whole);
  return whole ? kExitOk : kExitFailure;
}

}  // namespace

int RunDaemonProgram(const DaemonProgram& program, int argc, char** argv) {
  std::string port_file;
  ProgramInfo info;
  info.name = program.name;
  info.summary = program.summary;
  info.settings = program.settings;
  info.parse = program.parse;
  info.extend = [&port_file](CLI::App& app) {
    app.add_option("--port-file", port_file,
                   "A file to write the listeners' ports to");
  };
  const ProgramStart start = StartProgram(info, argc, argv);
  if (!start.run) return start.exit_status;
  InitLogging(program.name);
  auto daemon = program.start();
  if (!daemon) {
    std::cerr << daemon.error().ToString();
    return kExitCannotStart;
  }
  return RunUntilSignal(*daemon.value(), port_file);
}

}  // namespace yuccamoor
