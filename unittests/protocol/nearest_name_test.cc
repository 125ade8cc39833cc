/// \file
/// \brief Tests of the search for the nearest name.

#include "yuccamoor/protocol/nearest_name.h"

#include <catch2/catch.hpp>

namespace yuccamoor {

TEST_CASE("A mistyped name finds the one that was meant") {
  const std::vector<std::string> known{"status", "workers", "adapters"};
  CHECK(NearestName("statsu", known) == "status");
  CHECK(NearestName("adaptor", known) == "adapters");
  CHECK(NearestName("workers", known) == "workers");
  CHECK(NearestName("rollback", known).empty());
  CHECK(NearestName("", {}).empty());
  CHECK(NearestName(std::string(100'000, 'a'), known).empty());
}

}  // namespace yuccamoor
