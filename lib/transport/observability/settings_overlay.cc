/// \file
/// \brief Merging of settings from all of their sources.

#include "yuccamoor/transport/observability/settings_overlay.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "yuccamoor/protocol/json.h"

namespace yuccamoor {
namespace {

std::vector<std::string> SplitAtCommas(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

/// Returns the value of a flag's or variable's text. A scalar that is none
/// stays a string, for the settings' parser to report.
Json ValueOf(SettingForm form, const std::string& text) {
  if (form == SettingForm::kList) return SplitAtCommas(text);
  if (form == SettingForm::kScalar) {
    Json scalar = Json::parse(text, nullptr, false);
    if (scalar.is_number() || scalar.is_boolean()) return scalar;
  }
  return text;
}

}  // namespace

std::string SettingVariable(const std::string& name) {
  std::string variable = "YUCCAMOOR_";
  for (const unsigned char c : name) {
    variable += static_cast<char>(std::toupper(c));
  }
  return variable;
}

std::string SettingFlag(const std::string& name) {
  std::string flag = "--" + name;
  std::replace(flag.begin(), flag.end(), '_', '-');
  return flag;
}

void SettingsOverlay::AddFile(const std::string& path) {
  m_file = path;
  std::ifstream file(path);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    m_findings.Add(Place{path, "", 0, 0}, "cannot be read or is empty");
    return;
  }
  const auto json = ParseJson(text.str(), path);
  if (json.has_error()) {
    m_findings.Append(json.error());
    return;
  }
  if (!json.value().is_object()) {
    m_findings.Add(Place{path, "", 0, 0}, "is not a JSON object");
    return;
  }
  for (const auto& [name, value] : json.value().items()) {
    m_values[name] = Value{value.dump(), path};
  }
}

void SettingsOverlay::AddEnvironment(const std::vector<SettingInfo>& settings) {
  for (const SettingInfo& setting : settings) {
    const std::string variable = SettingVariable(setting.name);
    const char* text = std::getenv(variable.c_str());
    if (text != nullptr) AddText(setting, text, variable);
  }
}

void SettingsOverlay::AddText(const SettingInfo& setting,
                              const std::string& text,
                              const std::string& origin) {
  const Json value = ValueOf(setting.form, text);
  m_values[setting.name] =
      Value{value.dump(-1, ' ', false, Json::error_handler_t::replace), origin};
}

std::string SettingsOverlay::ToJsonText() const {
  constexpr int kIndent = 2;
  Json json = Json::object();
  for (const auto& [name, value] : m_values) {
    json[name] = Json::parse(value.json);
  }
  return json.dump(kIndent);
}

Findings SettingsOverlay::WithOrigins(const Findings& findings) const {
  Findings mapped;
  for (Finding finding : findings) {
    const std::string& pointer = finding.place.pointer;
    finding.place.source = m_file.empty() ? "settings" : m_file;
    if (!pointer.empty()) {
      const std::string name = pointer.substr(1, pointer.find('/', 1) - 1);
      const auto value = m_values.find(name);
      if (value != m_values.end()) finding.place.source = value->second.origin;
    }
    mapped.Add(std::move(finding));
  }
  return mapped;
}

}  // namespace yuccamoor
