/// \file
/// \brief Merges a program's settings from a JSON file, the environment and
/// flags into one JSON object, and remembers where each value came from.

#ifndef YUCCAMOOR_TRANSPORT_OBSERVABILITY_SETTINGS_OVERLAY_H_
#define YUCCAMOOR_TRANSPORT_OBSERVABILITY_SETTINGS_OVERLAY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "yuccamoor/state/finding.h"

namespace yuccamoor {

/// How the text of a flag or variable becomes a JSON value.
enum class SettingForm : std::uint8_t {
  kString,
  /// A number, true or false.
  kScalar,
  /// Strings, separated by commas.
  kList,
};

/// One setting as the command line knows it. The parser of the settings checks
/// types and ranges.
struct SettingInfo {
  /// The name in the JSON file, in snake_case.
  std::string name;
  SettingForm form = SettingForm::kString;
  std::string help;
};

/// Returns the environment variable of a setting: YUCCAMOOR_NAME.
std::string SettingVariable(const std::string& name);
/// Returns the flag of a setting: --name, with dashes.
std::string SettingFlag(const std::string& name);

/// A JSON object of settings, to which sources are added from the lowest
/// precedence to the highest.
class SettingsOverlay {
 public:
  /// Adds all of a file. What keeps it from being read is a finding.
  void AddFile(const std::string& path);
  /// Adds the settings for which the environment has a variable.
  void AddEnvironment(const std::vector<SettingInfo>& settings);
  /// Adds one value; \p origin names its flag or variable.
  void AddText(const SettingInfo& setting, const std::string& text,
               const std::string& origin);

  /// What was wrong with the sources themselves.
  const Findings& findings() const { return m_findings; }
  /// Returns the merged object as JSON text.
  std::string ToJsonText() const;
  /// Returns the parser's findings with the source of each value in place of
  /// the merged text's.
  Findings WithOrigins(const Findings& findings) const;

 private:
  /// One value as JSON text.
  struct Value {
    std::string json;
    std::string origin;
  };

  std::map<std::string, Value> m_values;
  std::string m_file;
  Findings m_findings;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_OBSERVABILITY_SETTINGS_OVERLAY_H_
