/// \file
/// \brief Reading of operators' files.

#ifndef YUCCAMOOR_PROTOCOL_CONFIG_CONFIG_FILES_H_
#define YUCCAMOOR_PROTOCOL_CONFIG_CONFIG_FILES_H_

#include <cstddef>
#include <string>
#include <vector>

#include "yuccamoor/state/config_records.h"
#include "yuccamoor/state/result.h"

namespace yuccamoor {

/// The largest file that is read, in bytes.
constexpr std::size_t kMaxConfigFileBytes = 67'108'864;

/// One file's text.
struct SourceFile {
  std::string path;
  std::string text;
};

/// Reads every file and checks each for itself. Returns the draft, or all
/// findings of all files. What the files say of each other is not checked here.
Result<ConfigDraft> LoadConfigFiles(const std::vector<SourceFile>& files);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_PROTOCOL_CONFIG_CONFIG_FILES_H_
