/// \file
/// \brief The command line that every program has.

#include "yuccamoor/transport/observability/program_options.h"

#include <CLI/CLI.hpp>
#include <iostream>
#include <map>

namespace yuccamoor {
namespace {

constexpr const char* kVersion = "0.1.0";

constexpr const char* kPrecedence =
    "Settings are read from the file, then from the environment "
    "(YUCCAMOOR_NAME), then from flags; the last one wins. Exit status: 0 "
    "done, 1 failed, 2 wrong command line or settings.";

/// What the command line asks for.
struct CommandLine {
  std::string settings_file;
  bool check_settings = false;
  bool print_settings = false;
  std::map<std::string, std::string> flags;
};

void AddOptions(CLI::App& app, const ProgramInfo& info,
                CommandLine& command_line) {
  app.set_version_flag("--version", kVersion);
  app.add_option("--settings", command_line.settings_file,
                 "JSON file with settings")
      ->envname("YUCCAMOOR_SETTINGS");
  app.add_flag("--check-settings", command_line.check_settings,
               "Check the settings and exit");
  app.add_flag("--print-settings", command_line.print_settings,
               "Print the merged settings as JSON and exit");
  for (const SettingInfo& setting : info.settings) {
    app.add_option(SettingFlag(setting.name), command_line.flags[setting.name],
                   setting.help)
        ->group("Settings");
  }
}

SettingsOverlay Merge(const CLI::App& app, const ProgramInfo& info,
                      const CommandLine& command_line) {
  SettingsOverlay overlay;
  if (!command_line.settings_file.empty()) {
    overlay.AddFile(command_line.settings_file);
  }
  overlay.AddEnvironment(info.settings);
  for (const SettingInfo& setting : info.settings) {
    const std::string flag = SettingFlag(setting.name);
    if (app.count(flag) == 0) continue;
    overlay.AddText(setting, command_line.flags.at(setting.name), flag);
  }
  return overlay;
}

}  // namespace

ProgramStart StartProgram(const ProgramInfo& info, int argc,
                          const char* const* argv) {
  CLI::App app(info.summary, info.name);
  CommandLine command_line;
  AddOptions(app, info, command_line);
  if (info.extend) info.extend(app);
  app.footer((info.details.empty() ? "" : info.details + "\n\n") + kPrecedence);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int status = app.exit(error);
    return ProgramStart{false, status == 0 ? kExitOk : kExitUsage};
  }
  const SettingsOverlay overlay = Merge(app, info, command_line);
  Findings findings = overlay.findings();
  // Findings on values missing from an unreadable file would mislead.
  if (findings.empty() && info.parse) {
    findings = overlay.WithOrigins(info.parse(overlay.ToJsonText()));
  }
  if (!findings.empty()) {
    std::cerr << findings.ToString();
    return ProgramStart{false, kExitUsage};
  }
  if (command_line.print_settings) std::cout << overlay.ToJsonText() << '\n';
  const bool run = !command_line.check_settings && !command_line.print_settings;
  return ProgramStart{run, kExitOk};
}

}  // namespace yuccamoor
