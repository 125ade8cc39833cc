/// \file
/// \brief Tests of the JSON of member exchanges.

#include "yuccamoor/protocol/member_exchange_codec.h"

#include <catch2/catch.hpp>

namespace yuccamoor {

TEST_CASE("Exchanges of members survive their encoding") {
  const MemberExchange message{
      UINT64_MAX,
      {{"a", KvVersion(7), "{\"id\":\"a\"}"}, {"b", KvVersion(9), ""}}};
  const auto decoded = DecodeMemberExchange(EncodeMemberExchange(message));
  REQUIRE(decoded.has_value());
  CHECK(decoded->digest == message.digest);
  CHECK(decoded->news == message.news);
}

TEST_CASE("Malformed exchanges of members are refused") {
  for (const char* text :
       {"", "[]", "{}", R"({"digest":-1})", R"({"digest":1,"news":[{}]})",
        R"({"digest":1,"news":[{"key":"a","version":-1}]})"}) {
    CAPTURE(text);
    CHECK_FALSE(DecodeMemberExchange(text).has_value());
  }
}

}  // namespace yuccamoor
