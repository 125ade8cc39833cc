/// \file
/// \brief Tests of JSON whose strings are not all text.

#include "yuccamoor/protocol/json_bytes.h"

#include <catch2/catch.hpp>
#include <string>

namespace yuccamoor {
namespace {

// Returns the value of the object's member "k".
std::string Read(const std::string& text) {
  return ParseAnyBytes(text).at("k").get<std::string>();
}

}  // namespace

TEST_CASE("Strings of any bytes are read as they are", "[json][bytes]") {
  CHECK(Read("{\"k\":\"a\xff\xc3\"}") == "a\xff\xc3");
  CHECK(Read("{\"k\":\"\xc3\xa4\"}") == "\xc3\xa4");
  CHECK(Read("{\"k\":\"a\tb\x01\"}") == "a\tb\x01");
  CHECK(Read(R"({"k":"a\"\\\u0041\n"})") == "a\"\\A\n");
  CHECK(Read(R"({"k":"\u00e4\u20ac\ud83d\ude00"})") ==
        "\xc3\xa4\xe2\x82\xac\xf0\x9f\x98\x80");
}

TEST_CASE("Halves of surrogate pairs are read as bytes", "[json][bytes]") {
  CHECK(Read(R"({"k":"a\udcffb"})") ==
        "a\xff"
        "b");
  CHECK(Read(R"({"k":"\ud800x"})") == "\xed\xa0\x80x");
  CHECK(Read(R"({"k":"\udc00"})") == "\xed\xb0\x80");
  CHECK(Read(R"({"k":"\ud800\ud800"})") == "\xed\xa0\x80\xed\xa0\x80");
}

TEST_CASE("Text that is no JSON but for its bytes is refused",
          "[json][bytes]") {
  for (const char* text :
       {"", "{", R"({"k":"\x"})", R"({"k":"\u12"})", R"({"k":"a)", R"("\)"}) {
    CAPTURE(text);
    CHECK_THROWS_AS(ParseAnyBytes(text), Json::exception);
  }
}

}  // namespace yuccamoor
