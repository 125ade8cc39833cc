/// \file
/// \brief The command line that every program has: settings from a file, the
/// environment and flags, in this order of precedence from lowest to highest.

#ifndef YUCCAMOOR_TRANSPORT_OBSERVABILITY_PROGRAM_OPTIONS_H_
#define YUCCAMOOR_TRANSPORT_OBSERVABILITY_PROGRAM_OPTIONS_H_

#include <functional>
#include <string>
#include <vector>

#include "yuccamoor/state/finding.h"
#include "yuccamoor/transport/observability/settings_overlay.h"

namespace CLI {  // NOLINT(readability-identifier-naming)
class App;
}  // namespace CLI

namespace yuccamoor {

/// Exit statuses of all programs.
constexpr int kExitOk = 0;
/// The program could not do its work.
constexpr int kExitFailure = 1;
/// The command line or the settings are wrong.
constexpr int kExitUsage = 2;

/// What a program is.
struct ProgramInfo {
  std::string name;
  std::string summary;
  /// Printed below the list of options.
  std::string details;
  std::vector<SettingInfo> settings;
  /// Parses the merged settings and keeps them; returns what is wrong.
  std::function<Findings(const std::string& json_text)> parse;
  /// Adds arguments or subcommands of the program's own, if set.
  std::function<void(CLI::App&)> extend;
};

/// Whether to go on, or the status to exit with.
struct ProgramStart {
  bool run = false;
  int exit_status = kExitOk;
};

/// Parses the command line and the settings. Handles --help, --version,
/// --settings FILE, --check-settings and --print-settings. Prints every finding
/// to the standard error output.
ProgramStart StartProgram(const ProgramInfo& info, int argc,
                          const char* const* argv);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_OBSERVABILITY_PROGRAM_OPTIONS_H_
