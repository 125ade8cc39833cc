/// \file
/// \brief Tests of lists of which single items may be unreadable.

#include "yuccamoor/protocol/json_list.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace yuccamoor {
namespace {

using Items = std::vector<std::string_view>;

}  // namespace

TEST_CASE("The items of a list are found without reading them",
          "[json][list]") {
  const auto list = SplitJsonList(
      R"({"a":[1,[2]],"b":"list","list": [ {"x":"],[\"\\"} ,oops, [1,2],1e999],)"
      R"("c":{"list":[3]}})",
      "list");
  REQUIRE(list);
  CHECK(list->items == Items{R"({"x":"],[\"\\"})", "oops", "[1,2]", "1e999"});
  CHECK(list->rest ==
        R"({"a":[1,[2]],"b":"list","list": [],"c":{"list":[3]}})");
}

TEST_CASE("A list may be empty", "[json][list]") {
  const auto list = SplitJsonList(R"({"list":[ ]})", "list");
  REQUIRE(list);
  CHECK(list->items.empty());
}

TEST_CASE("Text without the list, or that ends within it, is not split",
          "[json][list]") {
  for (const char* text :
       {"", "[]", "{}", R"({"list":{"a":1}})", R"({"list":7})", R"({"list":[1)",
        R"({"list":["a)", R"({"other":[1]})", R"({"a":{"list":[1]}})",
        R"([{"list":[1]}])"}) {
    CAPTURE(text);
    CHECK_FALSE(SplitJsonList(text, "list"));
  }
}

}  // namespace yuccamoor
