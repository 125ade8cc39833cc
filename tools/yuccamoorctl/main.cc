/// \file
/// \brief The operator's view of a running system.

#include <CLI/CLI.hpp>
#include <cstdint>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

#include "config_commands.h"
#include "node_commands.h"
#include "table.h"
#include "yuccamoor/protocol/config/config_text.h"
#include "yuccamoor/protocol/nearest_name.h"

namespace yuccamoor {
namespace {

/// The command line.
struct Options {
  std::vector<std::string> nodes;
  std::string key_value_service;
  std::string publisher = "operator";
  std::string owner;
  std::string request;
  std::uint64_t revision = 0;
  bool json = false;
};

using Command = std::function<CommandResult()>;

CommandResult UsageError(const std::string& error) {
  return CommandResult{kExitUsage, {}, error};
}

/// Runs the command if the daemons' addresses are there and well-formed.
CommandResult WithNodes(const Options& options, const Command& command) {
  if (options.nodes.empty()) {
    return UsageError("name at least one daemon with --node ip:port");
  }
  for (const std::string& node : options.nodes) {
    if (IsConfigAddress(node)) continue;
    return UsageError("--node \"" + node +
                      "\": write ip:port with the IP address in numbers");
  }
  return command();
}

/// Runs the command if the key-value service's address is there.
CommandResult WithService(const Options& options, const Command& command) {
  if (IsConfigAddress(options.key_value_service)) return command();
  return UsageError(
      "name the key-value service with --kv ip:port, the IP address in "
      "numbers");
}

void AddNodeCommand(CLI::App& app, const Options& options, Command& chosen,
                    const char* name, const char* help, const char* method,
                    const char* target) {
  app.add_subcommand(name, help)
      ->fallthrough()
      ->callback([&options, &chosen, method, target] {
        chosen = [&options, method, target] {
          return WithNodes(options, [&options, method, target] {
            return AskNodes(options.nodes, method, target);
          });
        };
      });
}

void AddExplain(CLI::App& app, Options& options, Command& chosen) {
  auto* explain =
      app.add_subcommand("explain", "Tell why a request waited or was refused");
  explain->fallthrough();
  explain->add_option("request", options.request, "The request's id")
      ->required();
  explain->callback([&options, &chosen] {
    chosen = [&options] {
      if (!IsConfigName(options.request)) {
        return UsageError("a request id has letters, digits, '.', '_' and '-'");
      }
      return WithNodes(options, [&options] {
        return AskNodes(options.nodes, "GET",
                        "/admin/requests/" + options.request);
      });
    };
  });
}

void AddConfig(CLI::App& app, Options& options, Command& chosen) {
  auto* config =
      app.add_subcommand("config", "Show or roll back the configuration");
  config->fallthrough()->require_subcommand(1);
  auto* show = config->add_subcommand("show", "Show what is in force");
  show->fallthrough();
  show->add_option("owner", options.owner, "Show this owner's part in full");
  show->callback([&options, &chosen] {
    chosen = [&options] {
      return WithService(options, [&options] {
        return ShowConfig(options.key_value_service, options.owner);
      });
    };
  });
  config->add_subcommand("history", "List publications, newest first")
      ->fallthrough()
      ->callback([&options, &chosen] {
        chosen = [&options] {
          return WithService(options, [&options] {
            return ShowHistory(options.key_value_service);
          });
        };
      });
  auto* rollback = config->add_subcommand(
      "rollback", "Put an earlier revision in force, as a new revision");
  rollback->fallthrough();
  rollback->add_option("revision", options.revision, "The earlier revision")
      ->required();
  rollback->add_option("--publisher", options.publisher, "Your name");
  rollback->callback([&options, &chosen] {
    chosen = [&options] {
      if (!IsConfigName(options.publisher)) {
        return UsageError("--publisher wants letters, digits, '.', '_', '-'");
      }
      return WithService(options, [&options] {
        return RollBack(options.key_value_service, options.revision,
                        options.publisher);
      });
    };
  });
}

/// Writes which command was meant, if a word that is no command is near one.
void SuggestCommand(const CLI::App& app) {
  const CLI::App* chosen = &app;
  while (!chosen->get_subcommands().empty()) {
    chosen = chosen->get_subcommands().front();
  }
  const auto typed = app.remaining(true);
  std::vector<std::string> names;
  for (const CLI::App* command : chosen->get_subcommands({})) {
    names.push_back(command->get_name());
  }
  const std::string nearest =
      typed.empty() ? std::string() : NearestName(typed.front(), names);
  if (nearest.empty()) return;
  std::cerr << "did you mean \"" << nearest << "\"?\n";
}

int Show(const CommandResult& result, bool json) {
  if (!result.error.empty()) {
    std::cerr << "yuccamoorctl: " << result.error << '\n';
    return result.exit_code;
  }
  if (json) {
    std::cout << result.json.dump(2) << '\n';
    return result.exit_code;
  }
  const bool nodes = result.json.is_array() && !result.json.empty() &&
                     result.json.front().contains("node");
  if (!nodes) {
    WriteTable(result.json, std::cout);
    return result.exit_code;
  }
  for (const Json& node : result.json) {
    WriteTable(node, std::cout);
    std::cout << '\n';
  }
  return result.exit_code;
}

int Main(int argc, char** argv) {
  CLI::App app("Shows and steers a running yuccamoor", "yuccamoorctl");
  Options options;
  Command chosen;
  app.require_subcommand(1);
  app.add_option("--node", options.nodes,
                 "A daemon's operator address, as ip:port; may be repeated");
  app.add_option("--kv", options.key_value_service,
                 "The key-value service, as ip:port");
  app.add_flag("--json", options.json, "Write JSON");
  AddNodeCommand(app, options, chosen, "status", "State of each daemon", "GET",
                 "/admin/status");
  AddNodeCommand(app, options, chosen, "workers", "Workers and their slots",
                 "GET", "/admin/workers");
  AddNodeCommand(app, options, chosen, "adapters",
                 "Adapters and where they are", "GET", "/admin/adapters");
  AddNodeCommand(app, options, chosen, "drain",
                 "Let daemons finish what they have and take nothing new",
                 "POST", "/admin/drain");
  AddExplain(app, options, chosen);
  AddConfig(app, options, chosen);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int exit_code = app.exit(error);
    if (exit_code != 0) SuggestCommand(app);
    return exit_code;
  }
  return Show(chosen(), options.json);
}

}  // namespace
}  // namespace yuccamoor

int main(int argc, char** argv) { return yuccamoor::Main(argc, argv); }
