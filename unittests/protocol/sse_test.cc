/// \file
/// \brief Tests of server-sent events.

#include "yuccamoor/protocol/sse.h"

#include <catch2/catch.hpp>
#include <stdexcept>

namespace yuccamoor {

TEST_CASE("Events survive any split of the body", "[sse]") {
  const std::string body =
      EncodeSse({"1", "first"}) + EncodeSse({"", "second"});
  for (std::size_t cut = 0; cut <= body.size(); ++cut) {
    CAPTURE(cut);
    SseParser parser;
    auto events = parser.Feed(body.substr(0, cut));
    for (auto& event : parser.Feed(body.substr(cut))) {
      events.push_back(std::move(event));
    }
    REQUIRE(events.size() == 2);
    CHECK(events[0].id == "1");
    CHECK(events[0].data == "first");
    CHECK(events[1].data == "second");
    CHECK(parser.AtBoundary());
  }
}

TEST_CASE("A cut event is not an event", "[sse]") {
  SseParser parser;
  CHECK(parser.Feed("data: half\n").empty());
  CHECK_FALSE(parser.AtBoundary());
}

TEST_CASE("An endless event is refused", "[sse]") {
  SseParser parser;
  CHECK_THROWS_AS(parser.Feed(std::string(SseParser::kMaxEventBytes + 1, 'x')),
                  std::length_error);
}

}  // namespace yuccamoor
