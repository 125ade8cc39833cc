/// \file
/// \brief Implementation of the daemons' shared main.

#include "yuccamoor/transport/daemon/daemon_program.h"

#include <glog/logging.h>

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "yuccamoor/transport/daemon/daemon.h"

namespace yuccamoor {
namespace {

/// What the command line says.
struct CommandLine {
  std::string settings;
  std::string port_file;
  bool check = false;
};

int Fail(ExitStatus status, const std::string& text) {
  std::cerr << text;
  return static_cast<int>(status);
}

Result<std::string> ReadFile(const std::string& path) {
  const std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file || text.fail()) {
    return Findings(
        Finding{Place{path, "", 0, 0}, "cannot be read", "check the path"});
  }
  return text.str();
}

int RunUntilSignal(RunningDaemon& daemon, const CommandLine& line) {
  WritePortFile(line.port_file, daemon.Ports());
  for (const auto& [listener, port] : daemon.Ports()) {
    LOG(INFO) << "event=listening listener=" << listener << " port=" << port;
  }
  WaitForShutdownSignal();
  LOG(INFO) << "event=shutdown_started";
  const bool whole = daemon.Shutdown();
  LOG(INFO) << "event=shutdown_ended whole=" << (whole ? "true" : "false");
  return static_cast<int>(whole ? ExitStatus::kOk : ExitStatus::kCutShort);
}

}  // namespace

int RunDaemonProgram(int argc, char** argv, const std::string& name,
                     const std::string& description,
                     const DaemonFactory& start) {
  CommandLine line;
  CLI::App app(description, name);
  app.set_version_flag("--version", name + " " YUCCAMOOR_VERSION);
  app.add_option("--settings", line.settings, "The settings file (JSON)")
      ->required();
  app.add_option("--port-file", line.port_file,
                 "A file to write the listeners' ports to");
  app.add_flag("--check-settings", line.check,
               "Report what is wrong with the settings, and exit");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int status = app.exit(error);
    return status == 0 ? 0 : static_cast<int>(ExitStatus::kUsage);
  }
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(name.c_str());
  const auto text = ReadFile(line.settings);
  if (!text) return Fail(ExitStatus::kUsage, text.error().ToString());
  // A first pass without effects tells wrong settings from a busy port.
  const auto checked = start(text.value(), line.settings, true);
  if (!checked) return Fail(ExitStatus::kUsage, checked.error().ToString());
  if (line.check) return static_cast<int>(ExitStatus::kOk);
  auto daemon = start(text.value(), line.settings, false);
  if (!daemon) return Fail(ExitStatus::kCannotStart, daemon.error().ToString());
  return RunUntilSignal(*daemon.value(), line);
}

}  // namespace yuccamoor
