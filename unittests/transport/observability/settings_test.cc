/// \file
/// \brief Tests of the command line: sources, precedence and findings.

#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>

#include "yuccamoor/protocol/daemon_settings.h"
#include "yuccamoor/protocol/json.h"
#include "yuccamoor/transport/observability/daemon_setting_infos.h"
#include "yuccamoor/transport/observability/program_options.h"

namespace yuccamoor {
namespace {

/// A settings file that goes with its scope.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text)
      : m_path("settings_test_" + std::to_string(::getpid()) + ".json") {
    std::ofstream(m_path) << text;
  }
  ~TemporaryFile() { std::remove(m_path.c_str()); }

  const std::string& path() const { return m_path; }

 private:
  std::string m_path;
};

/// Starts a program with the gateway's settings.
struct Program {
  GatewaySettings settings;
  Findings findings;

  ProgramStart Start(const std::vector<std::string>& arguments) {
    ProgramInfo info;
    info.name = "program";
    info.settings = GatewaySettingInfos();
    info.parse = [this](const std::string& text) {
      const auto parsed = ParseGatewaySettings(text, "settings");
      if (parsed.has_error()) return findings = parsed.error();
      settings = parsed.value();
      return Findings();
    };
    std::vector<const char*> argv = {"program"};
    for (const auto& argument : arguments) argv.push_back(argument.c_str());
    return StartProgram(info, static_cast<int>(argv.size()), argv.data());
  }
};

constexpr const char* kComplete =
    R"({"node":"n","vm":"v","failure_domain":"d",)"
    R"("key_value_service":"127.0.0.1:1","threads":3,"max_requests":7})";

}  // namespace

TEST_CASE("Flags go before the environment, and that before the file",
          "[settings]") {
  const TemporaryFile file(kComplete);
  ::setenv("YUCCAMOOR_THREADS", "4", 1);
  ::setenv("YUCCAMOOR_MAX_BODY_BYTES", "5", 1);
  ::setenv("YUCCAMOOR_PEERS", "1.1.1.1:1,2.2.2.2:2", 1);
  Program program;
  const ProgramStart start =
      program.Start({"--settings", file.path(), "--max-body-bytes=6"});
  ::unsetenv("YUCCAMOOR_THREADS");
  ::unsetenv("YUCCAMOOR_MAX_BODY_BYTES");
  ::unsetenv("YUCCAMOOR_PEERS");
  REQUIRE(start.run);
  CHECK(program.settings.max_requests == 7);
  CHECK(program.settings.daemon.threads == 4);
  CHECK(program.settings.max_body_bytes == 6);
  CHECK(program.settings.daemon.peers.size() == 2);
}

TEST_CASE("Findings name the source of their value", "[settings]") {
  const TemporaryFile file(kComplete);
  SettingsOverlay overlay;
  overlay.AddFile(file.path());
  overlay.AddText({"threads", SettingForm::kScalar, ""}, "many", "--threads");
  Findings parsed;
  parsed.Add(Place{"settings", "/threads", 0, 0}, "wrong");
  parsed.Add(Place{"settings", "/node", 0, 0}, "wrong");
  parsed.Add(Place{"settings", "/absent", 0, 0}, "wrong");
  std::vector<std::string> sources;
  for (const Finding& finding : overlay.WithOrigins(parsed)) {
    sources.push_back(finding.place.source);
  }
  CHECK(sources ==
        std::vector<std::string>{"--threads", file.path(), file.path()});
}

TEST_CASE("Wrong command lines and settings exit with the status of usage",
          "[settings]") {
  const TemporaryFile file(kComplete);
  const std::vector<std::vector<std::string>> cases = {
      {},
      {"--settings", file.path(), "--no-such-flag"},
      {"--settings", file.path(), "--threads", "many"},
      {"--settings", file.path(), "--threads", "0"},
      {"--settings", "/nonexistent/file"},
  };
  for (const auto& arguments : cases) {
    Program program;
    const ProgramStart start = program.Start(arguments);
    CHECK_FALSE(start.run);
    CHECK(start.exit_status == kExitUsage);
  }
  Program program;
  const ProgramStart start =
      program.Start({"--settings", file.path(), "--check-settings"});
  CHECK_FALSE(start.run);
  CHECK(start.exit_status == kExitOk);
}

TEST_CASE("A broken file is a finding with its place", "[settings]") {
  const TemporaryFile file("{\n  \"node\": }");
  SettingsOverlay overlay;
  overlay.AddFile(file.path());
  REQUIRE(overlay.findings().size() == 1);
  CHECK(overlay.findings().begin()->place.line == 2);
}

TEST_CASE("The parsers know every setting of the command lines", "[settings]") {
  const auto check = [](const auto& parse, const auto& infos) {
    SettingsOverlay overlay;
    for (const SettingInfo& info : infos) overlay.AddText(info, "1", info.name);
    const auto parsed = parse(overlay.ToJsonText(), "s");
    if (!parsed.has_error()) return;
    CHECK(parsed.error().ToString().find("not a known field") ==
          std::string::npos);
  };
  check(ParseGatewaySettings, GatewaySettingInfos());
  check(ParseSchedulerSettings, SchedulerSettingInfos());
  CHECK(ParseGatewaySettings(R"({"no_such":1})", "s")
            .error()
            .ToString()
            .find("not a known field") != std::string::npos);
}

}  // namespace yuccamoor
