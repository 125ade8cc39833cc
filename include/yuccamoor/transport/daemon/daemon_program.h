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

#include "yuccamoor/state/result.h"

namespace yuccamoor {

/// Exit statuses of the daemons.
enum class ExitStatus : int {
  kOk = 0,
  /// A graceful shutdown ended before every request had.
  kCutShort = 1,
  /// The command line or the settings are wrong.
  kUsage = 2,
  /// A listener could not be opened.
  kCannotStart = 3,
};

/// A daemon that has been started.
class RunningDaemon {
 public:
  virtual ~RunningDaemon() = default;

  /// The ports of its listeners by name.
  virtual std::map<std::string, std::uint16_t> Ports() const = 0;
  /// Shuts down gracefully; false if something was cut off.
  virtual bool Shutdown() = 0;
};

/// Makes and starts a daemon from its settings' text, or only checks the text.
/// Returns null when only checking.
using DaemonFactory = std::function<Result<std::unique_ptr<RunningDaemon>>(
    const std::string& text, const std::string& source, bool check_only)>;

/// Parses the command line, starts the daemon, waits for SIGTERM or SIGINT and
/// shuts it down. Returns the process's exit status.
int RunDaemonProgram(int argc, char** argv, const std::string& name,
                     const std::string& description,
                     const DaemonFactory& start);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_DAEMON_DAEMON_PROGRAM_H_
