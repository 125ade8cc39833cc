/// \file
/// \brief Tests of JSON parsing.

#include "yuccamoor/protocol/json.h"

#include <catch2/catch.hpp>

namespace yuccamoor {

TEST_CASE("A syntax error names its line and column", "[json]") {
  const auto result = ParseJson("{\n  \"a\": 1,\n  oops\n}", "x.json");
  REQUIRE(result.has_error());
  const Finding& finding = *result.error().begin();
  CHECK(finding.place.source == "x.json");
  CHECK(finding.place.line == 3);
  CHECK(finding.place.column == 3);
}

TEST_CASE("A target survives a round trip", "[json]") {
  const AdapterVersion target{AdapterId("diary"), VersionId("v1")};
  CHECK(Json(target).get<AdapterVersion>() == target);
}

}  // namespace yuccamoor
