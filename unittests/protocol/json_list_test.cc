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

TEST_CASE("Strings of any bytes are read as they are", "[json][list]") {
  const auto read = [](const std::string& text) {
    return ParseAnyBytes(text).at("k").get<std::string>();
  };
  CHECK(read("{\"k\":\"a\xff\xc3\"}") == "a\xff\xc3");
  CHECK(read("{\"k\":\"\xc3\xa4\"}") == "\xc3\xa4");
  CHECK(read("{\"k\":\"a\tb\x01\"}") == "a\tb\x01");
  CHECK(read(R"({"k":"a\"\\\u0041\n"})") == "a\"\\A\n");
  CHECK(read(R"({"k":"\u00e4\u20ac\ud83d\ude00"})") ==
        "\xc3\xa4\xe2\x82\xac\xf0\x9f\x98\x80");
}

TEST_CASE("Halves of surrogate pairs are read as bytes", "[json][list]") {
  const auto read = [](const std::string& text) {
    return ParseAnyBytes(text).at("k").get<std::string>();
  };
  CHECK(read(R"({"k":"a\udcffb"})") ==
        "a\xff"
        "b");
  CHECK(read(R"({"k":"\ud800x"})") == "\xed\xa0\x80x");
  CHECK(read(R"({"k":"\udc00"})") == "\xed\xb0\x80");
  CHECK(read(R"({"k":"\ud800\ud800"})") == "\xed\xa0\x80\xed\xa0\x80");
}

TEST_CASE("Text that is no JSON but for its bytes is refused", "[json][list]") {
  for (const char* text :
       {"", "{", R"({"k":"\x"})", R"({"k":"\u12"})", R"({"k":"a)", R"("\)"}) {
    CAPTURE(text);
    CHECK_THROWS_AS(ParseAnyBytes(text), Json::exception);
  }
}

}  // namespace yuccamoor
