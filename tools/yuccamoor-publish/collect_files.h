/// \file
/// \brief Collects operators' files from the command line's paths.

#ifndef YUCCAMOOR_TOOLS_YUCCAMOOR_PUBLISH_COLLECT_FILES_H_
#define YUCCAMOOR_TOOLS_YUCCAMOOR_PUBLISH_COLLECT_FILES_H_

#include <string>
#include <vector>

#include "yuccamoor/protocol/config/config_files.h"

namespace yuccamoor {

/// Reads each file, and below each folder every "*.yuccamoor.json", in order of
/// their paths. Findings for what cannot be read.
Result<std::vector<SourceFile>> CollectFiles(
    const std::vector<std::string>& paths);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TOOLS_YUCCAMOOR_PUBLISH_COLLECT_FILES_H_
