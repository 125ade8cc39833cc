/// \file
/// \brief Tests of tenants in operators' files, and of the secrecy of their
/// keys.

#include <catch2/catch.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "yuccamoor/coordination/config/config_content.h"
#include "yuccamoor/protocol/config/config_diff.h"
#include "yuccamoor/protocol/config/config_files.h"
#include "yuccamoor/protocol/config/config_json.h"

namespace yuccamoor {
namespace {

constexpr const char* kSecret = "k-3f9a17";

std::string File(const std::string& owner, const std::string& tenants) {
  return R"({"owner": ")" + owner + R"(", "tenants": )" + tenants + "}";
}

std::string Tenant(const std::string& name, const std::string& fields) {
  return "{\"" + name + "\": {" + fields + "}}";
}

ConfigUnits Load(const std::vector<SourceFile>& files) {
  const auto draft = LoadConfigFiles(files);
  REQUIRE(draft.has_value());
  ConfigUnits units;
  for (const ConfigUnit& unit : draft.value().units) units[unit.owner] = unit;
  return units;
}

struct RefusalCase {
  const char* fields;
  const char* pointer;
  const char* message;
};

const RefusalCase kRefusals[] = {
    {R"("keys": ["k-3f9a17", ""])", "/tenants/a/keys/1", "not a key"},
    {R"("keys": ["k-3f9a17 x"])", "/tenants/a/keys/0", "not a key"},
    {R"("keys": ["k-3f9a17", "k-3f9a17"])", "/tenants/a/keys/1",
     "listed twice"},
    {R"("keys": [])", "/tenants/a/keys", "0 entries"},
    {R"("priority": "normal")", "/tenants/a/keys", "missing"},
    {R"("keys": ["k-3f9a17"], "priority": "top")", "/tenants/a/priority",
     "unknown priority"},
    {R"("keys": ["k-3f9a17"], "quota": {"unit": "bytes", "per_second": 1})",
     "/tenants/a/quota/unit", "unknown quota unit"},
    {R"("keys": ["k-3f9a17"], "quota": {"unit": "tokens"})",
     "/tenants/a/quota/per_second", "missing"},
    {R"("keys": ["k-3f9a17"], "quota": {"per_second": 0})",
     "/tenants/a/quota/per_second", "out of range"},
    {R"("keys": ["k-3f9a17" "x"])", "", "syntax error"},
};

bool HasFinding(const Findings& findings, const RefusalCase& expected) {
  for (const Finding& f : findings) {
    if (f.place.source == "a.json" && f.place.pointer == expected.pointer &&
        f.message.find(expected.message) != std::string::npos) {
      return true;
    }
  }
  return false;
}

}  // namespace

// Fails if a tenant's fields are lost on the way into a published part.
TEST_CASE("Tenants are read with keys, priority and quota", "[config]") {
  const ConfigUnits units = Load(
      {{"a.json", File("o", Tenant("a", R"("keys": ["k-3f9a17"], "priority":
           "interactive", "quota": {"unit": "tokens", "per_second": 50,
           "burst": 200, "plain_tokens": 30})"))}});
  const ConfigUnit unit = UnitFromJson(UnitToJson(units.at(OwnerId("o"))));
  const TenantConfig& tenant = unit.tenants.at(0);
  CHECK(tenant.id == TenantId("a"));
  CHECK(tenant.keys == std::vector<std::string>{kSecret});
  CHECK(tenant.priority == Priority::kInteractive);
  CHECK(tenant.quota ==
        fleet::QuotaSpec{fleet::QuotaUnit::kTokens, 50, 200, 30});
}

// Fails if a wrong field passes, or if its finding shows a key.
TEST_CASE("A refused tenant names its field and shows no key", "[config]") {
  for (const RefusalCase& c : kRefusals) {
    const auto draft =
        LoadConfigFiles({{"a.json", File("o", Tenant("a", c.fields))}});
    INFO(c.fields);
    REQUIRE(draft.has_error());
    INFO(draft.error().ToString());
    CHECK(HasFinding(draft.error(), c));
    CHECK(draft.error().ToString().find("3f9a17") == std::string::npos);
  }
}

// Fails if a tenant without a name passes.
TEST_CASE("A tenant needs a name", "[config]") {
  const auto draft = LoadConfigFiles(
      {{"a.json", File("o", Tenant("", R"("keys": ["k-3f9a17"])"))}});
  REQUIRE(draft.has_error());
  CHECK(HasFinding(draft.error(), {"", "/tenants/", "not a name"}));
}

// Fails if one key can stand for two tenants.
TEST_CASE("A key of two tenants is found in one file and in two", "[config]") {
  const std::string keys = R"({"keys": ["k-3f9a17"]})";
  const std::string both = R"({"a": )" + keys + R"(, "b": )" + keys + "}";
  const bool one_file = GENERATE(true, false);
  std::vector<SourceFile> files;
  if (one_file) {
    files.push_back({"a.json", File("o", both)});
  } else {
    files.push_back({"b.json", File("o", R"({"a": )" + keys + "}")});
    files.push_back({"a.json", File("p", R"({"b": )" + keys + "}")});
  }
  const ConfigUnits units = Load(files);
  const Findings findings = CheckUnits(units);
  REQUIRE(findings.size() == 1);
  CHECK(HasFinding(findings, {"", "/tenants/b/keys/0", "given twice"}));
  const std::string text = findings.ToString();
  CHECK(text.find(one_file ? "a.json /tenants/a/keys/0"
                           : "b.json /tenants/a/keys/0") != std::string::npos);
  CHECK(text.find(kSecret) == std::string::npos);
}

// Fails if two owners can have a tenant of one name.
TEST_CASE("A tenant belongs to one owner", "[config]") {
  const ConfigUnits units =
      Load({{"b.json", File("o", Tenant("a", R"("keys": ["k1"])"))},
            {"a.json", File("p", Tenant("a", R"("keys": ["k2"])"))}});
  CHECK(HasFinding(CheckUnits(units), {"", "/tenants/a", "is claimed"}));
}

// Fails if a report of what changes shows a key.
TEST_CASE("A diff tells of changed keys without showing them", "[config]") {
  const ConfigUnits before =
      Load({{"a.json", File("o", Tenant("a", R"("keys": ["k-3f9a17"])"))}});
  const ConfigUnits after =
      Load({{"a.json", File("o", Tenant("a", R"("keys": ["k-other"])"))}});
  std::ostringstream os;
  for (const auto* earlier : {&before, &after}) {
    for (const ConfigDifference& d : DiffUnits(*earlier, after))
      os << d << '\n';
  }
  for (const ConfigDifference& d : DiffUnits({}, before)) os << d << '\n';
  os << UnitToShow(before.at(OwnerId("o"))).dump();
  const std::string text = os.str();
  CHECK(text.find("~ o /tenants/a/keys: \"1 keys\" -> \"1 keys\"\n") !=
        std::string::npos);
  CHECK(text.find("k-") == std::string::npos);
}

}  // namespace yuccamoor
