/// \file
/// \brief What the daemons' main functions share: the command line, the
/// settings file, and the wait for the signal to stop.

#ifndef YUCCAMOOR_TRANSPORT_DAEMON_DAEMON_PROGRAM_H_
#define YUCCAMOOR_TRANSPORT_DAEMON_DAEMON_PROGRAM_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "yuccamoor/state/result.h"
#include "yuccamoor/transport/observability/settings_overlay.h"

namespace yuccamoor {

/// Exit status of a daemon that could not open its listeners.
constexpr int kExitCannotStart = 3;

/// A daemon that has been started.
class RunningDaemon {
 public:
  virtual ~RunningDaemon() = default;

  /// The ports of its listeners by name.
  virtual std::map<std::string, std::uint16_t> Ports() const = 0;
  /// Shuts down gracefully; false if something was cut off.
  virtual bool Shutdown() = 0;
};

/// What one daemon's main function adds.
struct DaemonProgram {
  std::string name;
  std::string summary;
  std::vector<SettingInfo> settings;
  /// Parses the merged settings and keeps them; returns what is wrong.
  std::function<Findings(const std::string& json_text)> parse;
  /// Makes and starts the daemon from the parsed settings.
  std::function<Result<std::unique_ptr<RunningDaemon>>()> start;
};

/// Parses the command line and the settings, starts the daemon, waits for
/// SIGTERM or SIGINT and shuts it down. Returns the process's exit status:
/// kExitOk, kExitUsage, kExitCannotStart, or kExitFailure when a shutdown ended
/// before every request had.
int RunDaemonProgram(const DaemonProgram& program, int argc, char** argv);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_DAEMON_DAEMON_PROGRAM_H_
