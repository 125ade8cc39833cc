/// \file
/// \brief Tests of the checks across owners and of the split into segments.

#include "yuccamoor/coordination/config/config_content.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <set>
#include <sstream>

#include "yuccamoor/coordination/config/config_segments.h"
#include "yuccamoor/protocol/config/config_schema.h"
#include "yuccamoor/protocol/config/json_config_codec.h"

namespace yuccamoor {
namespace {

ConfigUnit MakeUnit(const std::string& owner, int adapters) {
  ConfigUnit unit;
  unit.owner = OwnerId(owner);
  unit.source = owner + ".json";
  CellConfig cell;
  cell.id = CellId("cell-" + owner);
  unit.cells.push_back(cell);
  for (int i = 0; i < adapters; ++i) {
    AdapterConfig adapter;
    adapter.id = AdapterId(owner + "-" + std::to_string(i));
    adapter.cell = cell.id;
    adapter.versions = {VersionId("v1"), VersionId("v2")};
    adapter.owner = unit.owner;
    unit.adapters.push_back(adapter);
  }
  return unit;
}

ConfigUnits UnitsOf(const std::vector<ConfigUnit>& list) {
  ConfigUnits units;
  for (const ConfigUnit& unit : list) units[unit.owner] = unit;
  return units;
}

EncodedConfig Encode(ConfigUnits units) {
  const JsonConfigCodec codec;
  return EncodeConfig(units, {}, Revision(1), PublisherId("p"), codec);
}

/// A change of two good units and the finding that it must give.
struct CrossCase {
  const char* name;
  void (*spoil)(ConfigUnit& a, ConfigUnit& b);
  const char* source;
  const char* pointer;
  const char* message;
};

const CrossCase kCrossCases[] = {
    {"adapter claimed twice",
     [](ConfigUnit& a, ConfigUnit& b) { b.adapters[0].id = a.adapters[0].id; },
     "b.json", "/adapters/a-0", "claimed by owner \"a\" too"},
    {"cell claimed twice",
     [](ConfigUnit& a, ConfigUnit& b) {
       b.cells[0].id = a.cells[0].id;
       for (AdapterConfig& x : b.adapters) x.cell = a.cells[0].id;
     },
     "b.json", "/cells/cell-a", "claimed by owner \"a\" too"},
    {"worker address claimed twice",
     [](ConfigUnit& a, ConfigUnit& b) {
       a.cells[0].workers.push_back({WorkerId("w1"), "10.0.0.1:1", {}, {}});
       b.cells[0].workers.push_back({WorkerId("w2"), "10.0.0.1:1", {}, {}});
     },
     "b.json", "/cells/cell-b/workers/w2/address", "claimed by owner"},
    {"unknown cell",
     [](ConfigUnit&, ConfigUnit& b) { b.adapters[0].cell = CellId("none"); },
     "b.json", "/adapters/b-0/cell", "no cell \"none\""},
    {"alias to another owner's removed version",
     [](ConfigUnit& a, ConfigUnit& b) {
       a.adapters[0].versions = {VersionId("v2")};
       b.aliases.push_back(
           {"canary", {{{AdapterId("a-0"), VersionId("v1")}, 1}}});
     },
     "b.json", "/aliases/canary/a-0@v1", "has no version \"v1\""},
    {"alias to no adapter",
     [](ConfigUnit&, ConfigUnit& b) {
       b.aliases.push_back({"x", {{{AdapterId("y"), VersionId("v1")}, 1}}});
     },
     "b.json", "/aliases/x/y@v1", "no adapter \"y\""},
};

}  // namespace

TEST_CASE("References are checked across owners", "[config]") {
  for (const CrossCase& c : kCrossCases) {
    ConfigUnit a = MakeUnit("a", 2);
    ConfigUnit b = MakeUnit("b", 2);
    INFO(c.name);
    REQUIRE(CheckUnits(UnitsOf({a, b})).empty());
    c.spoil(a, b);
    const Findings findings = CheckUnits(UnitsOf({a, b}));
    REQUIRE(findings.size() == 1);
    const Finding& finding = *findings.begin();
    CHECK(finding.place.source == c.source);
    CHECK(finding.place.pointer == c.pointer);
    CHECK(finding.message.find(c.message) != std::string::npos);
    CHECK_FALSE(finding.hint.empty());
  }
}

TEST_CASE("The same parts give the same bytes in any order", "[config]") {
  ConfigUnit unit = MakeUnit("a", 500);
  const EncodedConfig first = Encode(UnitsOf({unit}));
  std::reverse(unit.adapters.begin(), unit.adapters.end());
  const EncodedConfig second = Encode(UnitsOf({unit}));
  CHECK(first.manifest == second.manifest);
  CHECK(first.segments == second.segments);
}

TEST_CASE("A change touches one bucket or two of many", "[config]") {
  constexpr int kAdapters = 6'000;
  const JsonConfigCodec codec;
  ConfigUnit unit = MakeUnit("a", kAdapters);
  EncodedConfig before = Encode(UnitsOf({unit}));
  REQUIRE(before.manifest.buckets.size() >= 8);
  for (int i = 0; i < 40; ++i) {
    AdapterConfig added = unit.adapters.front();
    added.id = AdapterId("added-" + std::to_string(i));
    unit.adapters.push_back(added);
    EncodedConfig after = Encode(UnitsOf({unit}));
    std::size_t fresh = 0;
    for (const ManifestBucket& bucket : after.manifest.buckets) {
      if (!before.segments.contains(bucket.segment)) ++fresh;
    }
    CHECK(fresh >= 1);
    CHECK(fresh <= 2);
    for (const auto& [hash, bytes] : after.segments) {
      REQUIRE(bytes.size() < 2 * kConfigSegmentBytes);
    }
    before = std::move(after);
  }
}

TEST_CASE("The page lists every field as the program does", "[config]") {
  std::ifstream page(YUCCAMOOR_SOURCE_DIR "/docs/CONFIGURATION.md");
  REQUIRE(page);
  std::ostringstream text;
  text << page.rdbuf();
  CHECK(text.str().find(SchemaAsMarkdown()) != std::string::npos);
}

}  // namespace yuccamoor
