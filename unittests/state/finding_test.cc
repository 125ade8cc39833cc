/// \file
/// \brief Tests of findings.

#include "yuccamoor/state/finding.h"

#include <catch2/catch.hpp>

namespace yuccamoor {

TEST_CASE("A finding is written with its place", "[finding]") {
  Findings findings;
  findings.Add(Place{"a.json", "/port", 3, 7}, "not a number", "give 1-65535");
  CHECK(findings.ToString() ==
        "a.json:3:7: /port: not a number (give 1-65535)\n");
}

TEST_CASE("Findings of several inputs are reported in order", "[finding]") {
  Findings first(Finding{Place{"a", "", 0, 0}, "one", ""});
  const Findings second(Finding{Place{"b", "", 0, 0}, "two", ""});
  first.Append(second);
  CHECK(first.ToString() == "a: one\nb: two\n");
}

}  // namespace yuccamoor
