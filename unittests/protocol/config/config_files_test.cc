/// \file
/// \brief Tests of the reading of operators' files: what is accepted, and the
/// place and hint of each refusal.

#include "yuccamoor/protocol/config/config_files.h"

#include <catch2/catch.hpp>

#include "yuccamoor/protocol/config/config_json.h"

namespace yuccamoor {
namespace {

constexpr const char* kWhole = R"({
  "owner": "asistan",
  "cells": {"asistan-model": {
    "model": "asistan-8b", "region": "marmara",
    "workers": {"w1": {"address": "10.0.0.1:9000",
                       "failure_domain": "marmara-a", "vm": "vm-1"}},
    "weight_store": {"loads_per_second": 2.5}}},
  "adapters": {"diary": {"cell": "asistan-model", "versions": ["v1", "v2"],
                         "priority": "interactive"}},
  "aliases": {"diary-canary": {"diary@v1": 90, "diary@v2": 10}},
  "services": {"abone": {
    "endpoints": {"e1": {"address": "[::1]:80", "failure_domain": "b"}},
    "non_idempotent": [{"method": "POST", "path_prefix": "/renewals"}]}}
})";

/// A replacement in the whole file and the finding that it must give.
struct RefusalCase {
  const char* part;
  const char* replacement;
  const char* pointer;
  const char* message;
  const char* hint;
};

const RefusalCase kRefusals[] = {
    {"\"owner\"", "\"ownr\"", "/ownr", "unknown field", "\"owner\"?"},
    {"\"owner\"", "\"ownr\"", "/owner", "missing", "Who owns"},
    {"\"asistan\"", "\"as istan\"", "/owner", "not a name", "letters"},
    {"10.0.0.1:9000", "host:9000", "/cells/asistan-model/workers/w1/address",
     "not an address", "ip:port"},
    {"10.0.0.1:9000", "10.0.0.1:0", "/cells/asistan-model/workers/w1/address",
     "not an address", "ip:port"},
    {"10.0.0.1:9000", "10.0.0.1:65536",
     "/cells/asistan-model/workers/w1/address", "not an address", "ip:port"},
    {"2.5", "0", "/cells/asistan-model/weight_store/loads_per_second",
     "out of range", "from 0.001"},
    {"2.5", "\"2.5\"", "/cells/asistan-model/weight_store/loads_per_second",
     "wrong type", "a number"},
    {"[\"v1\", \"v2\"]", "[]", "/adapters/diary/versions", "0 entries",
     "from 1"},
    {"[\"v1\", \"v2\"]", "[\"v1\", \"v1\"]", "/adapters/diary/versions/1",
     "twice", "remove"},
    {"interactive", "urgent", "/adapters/diary/priority", "unknown priority",
     "background"},
    {"\"diary@v1\"", "\"diary\"", "/aliases/diary-canary/diary", "not a target",
     "adapter@version"},
    {"90, \"diary@v2\": 10", "0, \"diary@v2\": 0", "/aliases/diary-canary",
     "all weights are zero", "above 0"},
    {"90,", "-1,", "/aliases/diary-canary/diary@v1", "out of range", "from 0"},
    {"POST", "post", "/services/abone/non_idempotent/0/method",
     "not an HTTP method", "POST"},
    {"/renewals", "renewals", "/services/abone/non_idempotent/0/path_prefix",
     "not a path", "'/'"},
    {"\"diary@v2\"", "\"diary@v1\"", "", "occurs twice", "rename"},
};

bool HasFinding(const Findings& findings, const RefusalCase& expected) {
  for (const Finding& f : findings) {
    if (f.place.source == "a.json" && f.place.pointer == expected.pointer &&
        f.message.find(expected.message) != std::string::npos &&
        f.hint.find(expected.hint) != std::string::npos) {
      return true;
    }
  }
  return false;
}

}  // namespace

TEST_CASE("A whole file is read", "[config]") {
  const auto draft = LoadConfigFiles({{"a.json", kWhole}});
  REQUIRE(draft.has_value());
  const ConfigUnit& unit = draft.value().units.at(0);
  CHECK(unit.owner == OwnerId("asistan"));
  CHECK(unit.cells.at(0).store_loads_per_second == 2.5);
  CHECK(unit.cells.at(0).store_max_in_flight == 8);
  CHECK(unit.cells.at(0).workers.at(0).vm == VmId("vm-1"));
  CHECK(unit.adapters.at(0).priority == Priority::kInteractive);
  CHECK(unit.aliases.at(0).targets.at(0).weight == 90);
  CHECK(unit.services.at(0).non_idempotent.at(0).path_prefix == "/renewals");
  const ConfigUnit again = UnitFromJson(UnitToJson(unit));
  CHECK(UnitToJson(again) == UnitToJson(unit));
}

TEST_CASE("Every refusal names its place and a way out", "[config]") {
  for (const RefusalCase& c : kRefusals) {
    std::string text = kWhole;
    const std::size_t at = text.find(c.part);
    REQUIRE(at != std::string::npos);
    text.replace(at, std::string(c.part).size(), c.replacement);
    const auto draft = LoadConfigFiles({{"a.json", text}});
    INFO(c.replacement);
    REQUIRE(draft.has_error());
    INFO(draft.error().ToString());
    CHECK(HasFinding(draft.error(), c));
  }
}

TEST_CASE("Findings of all files come together", "[config]") {
  const auto draft = LoadConfigFiles(
      {{"a.json", "{\n \"owner\": }"}, {"b.json", "{}"}, {"c.json", kWhole}});
  REQUIRE(draft.has_error());
  REQUIRE(draft.error().size() == 2);
  const Finding& syntax = *draft.error().begin();
  CHECK(syntax.place.source == "a.json");
  CHECK(syntax.place.line == 2);
}

TEST_CASE("Two files may not name one owner", "[config]") {
  const auto draft = LoadConfigFiles({{"a.json", kWhole}, {"b.json", kWhole}});
  REQUIRE(draft.has_error());
  CHECK(draft.error().begin()->place.source == "b.json");
  CHECK(draft.error().begin()->place.pointer == "/owner");
}

TEST_CASE("Deep nesting is refused", "[config]") {
  const std::string text(100'000, '[');
  const auto draft =
      LoadConfigFiles({{"a.json", text + std::string(100'000, ']')}});
  REQUIRE(draft.has_error());
}

}  // namespace yuccamoor
