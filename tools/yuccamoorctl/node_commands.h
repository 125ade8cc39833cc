/// \file
/// \brief The commands that ask daemons at their operator addresses.

#ifndef YUCCAMOOR_TOOLS_YUCCAMOORCTL_NODE_COMMANDS_H_
#define YUCCAMOOR_TOOLS_YUCCAMOORCTL_NODE_COMMANDS_H_

#include <string>
#include <vector>

#include "config_commands.h"

namespace yuccamoor {

/// Asks every daemon at once. The result holds one object for each, with its
/// address as "node"; a daemon that was not reached has an "error".
CommandResult AskNodes(const std::vector<std::string>& addresses,
                       const std::string& method, const std::string& target);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TOOLS_YUCCAMOORCTL_NODE_COMMANDS_H_
