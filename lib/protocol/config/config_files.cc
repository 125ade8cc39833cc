/// \file
/// \brief Implementation of the reading of operators' files.

#include "yuccamoor/protocol/config/config_files.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

#include "yuccamoor/protocol/config/config_json.h"
#include "yuccamoor/protocol/config/config_schema.h"
#include "yuccamoor/protocol/json.h"

namespace yuccamoor {
namespace {

/// Objects and lists nested deeper than this are in no valid file.
constexpr int kDeepestNesting = 16;

/// Watches the parser for what the parsed value no longer shows: names that
/// occur twice in an object. Cuts nesting that no valid file has.
class ParseObserver {
 public:
  ParseObserver(Place place, Findings& findings)
      : m_place(std::move(place)), m_findings(findings) {}

  bool operator()(int depth, Json::parse_event_t event, const Json& parsed) {
    if (event == Json::parse_event_t::object_start ||
        event == Json::parse_event_t::array_start) {
      return Open(depth);
    }
    if (event == Json::parse_event_t::key) {
      const auto level = static_cast<std::size_t>(depth);
      if (m_names.size() <= level) m_names.resize(level + 1);
      CheckName(m_names[level], parsed.get_ref<const std::string&>());
    }
    return true;
  }

 private:
  bool Open(int depth) {
    const auto inner = static_cast<std::size_t>(depth) + 1;
    if (m_names.size() > inner) m_names[inner].clear();
    if (depth < kDeepestNesting) return true;
    if (!std::exchange(m_too_deep, true)) {
      m_findings.Add(m_place, "nested too deeply");
    }
    return false;
  }

  void CheckName(std::set<std::string>& names, const std::string& name) {
    if (names.insert(name).second) return;
    m_findings.Add(m_place,
                   "the name \"" + name + "\" occurs twice in one object",
                   "remove or rename one of them");
  }

  Place m_place;
  Findings& m_findings;
  std::vector<std::set<std::string>> m_names;
  bool m_too_deep = false;
};

/// Adds what only the parser sees. The text is known to be valid JSON.
void CheckText(const SourceFile& file, Findings& findings) {
  ParseObserver observer(Place{file.path, "", 0, 0}, findings);
  const auto parsed = Json::parse(
      file.text,
      [&observer](int depth, Json::parse_event_t event, const Json& value) {
        return observer(depth, event, value);
      });
  static_cast<void>(parsed);
}

void LoadFile(const SourceFile& file, ConfigDraft& draft, Findings& findings) {
  const Place place{file.path, "", 0, 0};
  if (file.text.size() > kMaxConfigFileBytes) {
    findings.Add(place, "the file is too large", "split it over two owners");
    return;
  }
  const auto json = ParseJson(file.text, file.path);
  if (json.has_error()) {
    findings.Append(json.error());
    return;
  }
  Findings own;
  CheckText(file, own);
  CheckSchema(json.value(), ConfigFileSchema(), place, own);
  findings.Append(own);
  if (!own.empty()) return;
  ConfigUnit unit = UnitFromJson(json.value());
  unit.source = file.path;
  draft.units.push_back(std::move(unit));
}

void CheckOwners(const ConfigDraft& draft, Findings& findings) {
  for (std::size_t i = 1; i < draft.units.size(); ++i) {
    const ConfigUnit& unit = draft.units[i];
    const ConfigUnit& earlier = draft.units[i - 1];
    if (unit.owner != earlier.owner) continue;
    findings.Add(
        Place{unit.source, "/owner", 0, 0},
        "owner \"" + unit.owner.str() + "\" is also that of " + earlier.source,
        "join the two files or name another owner");
  }
}

}  // namespace

Result<ConfigDraft> LoadConfigFiles(const std::vector<SourceFile>& files) {
  ConfigDraft draft;
  Findings findings;
  for (const SourceFile& file : files) LoadFile(file, draft, findings);
  std::stable_sort(
      draft.units.begin(), draft.units.end(),
      [](const auto& a, const auto& b) { return a.owner < b.owner; });
  CheckOwners(draft, findings);
  if (!findings.empty()) return findings;
  return draft;
}

}  // namespace yuccamoor
