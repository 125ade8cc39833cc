/// \file
/// \brief Implementation of the collection of operators' files.

#include "collect_files.h"

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <system_error>

namespace yuccamoor {
namespace {

namespace fs = std::filesystem;

constexpr const char* kSuffix = ".yuccamoor.json";

void CollectPaths(const std::string& path, std::set<std::string>& paths,
                  Findings& findings) {
  std::error_code error;
  if (!fs::is_directory(path, error)) {
    paths.insert(path);
    return;
  }
  const std::size_t before = paths.size();
  const fs::recursive_directory_iterator folder(path, error);
  for (const fs::directory_entry& entry : folder) {
    const std::string name = entry.path().string();
    if (name.ends_with(kSuffix)) paths.insert(name);
  }
  if (paths.size() != before) return;
  findings.Add(Place{path, "", 0, 0}, "no file in this folder",
               std::string("files are named *") + kSuffix);
}

}  // namespace

Result<std::vector<SourceFile>> CollectFiles(
    const std::vector<std::string>& paths) {
  Findings findings;
  std::set<std::string> names;
  for (const std::string& path : paths) CollectPaths(path, names, findings);
  std::vector<SourceFile> files;
  for (const std::string& name : names) {
    std::ifstream stream(name, std::ios::binary);
    std::ostringstream text;
    if (!stream || !(text << stream.rdbuf())) {
      findings.Add(Place{name, "", 0, 0}, "cannot be read",
                   "check that it is there, not empty, and may be read");
      continue;
    }
    files.push_back({name, text.str()});
  }
  if (!findings.empty()) return findings;
  return files;
}

}  // namespace yuccamoor
