/// \file
/// \brief The commands about the configuration in force.

#ifndef YUCCAMOOR_TOOLS_YUCCAMOORCTL_CONFIG_COMMANDS_H_
#define YUCCAMOOR_TOOLS_YUCCAMOORCTL_CONFIG_COMMANDS_H_

#include <cstdint>
#include <string>

#include "yuccamoor/protocol/json.h"

namespace yuccamoor {

constexpr int kExitFailed = 1;
constexpr int kExitOverlap = 2;
constexpr int kExitUnreachable = 3;
constexpr int kExitUnknown = 4;
constexpr int kExitUsage = 64;

/// What a command gives: JSON to show, or an error.
struct CommandResult {
  int exit_code = 0;
  Json json;
  std::string error;
};

/// Shows what is in force: all, or one owner's part in full.
CommandResult ShowConfig(const std::string& kv_address,
                         const std::string& owner);

/// Lists the publications that can be rolled back to.
CommandResult ShowHistory(const std::string& kv_address);

/// Puts the content of an earlier revision in force, as a new revision.
CommandResult RollBack(const std::string& kv_address, std::uint64_t revision,
                       const std::string& publisher);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TOOLS_YUCCAMOORCTL_CONFIG_COMMANDS_H_
