/// \file
/// \brief Tests of the targets of requests.

#include "yuccamoor/protocol/fleet/request_target.h"

#include <catch2/catch.hpp>
#include <string>

namespace yuccamoor::fleet {

TEST_CASE("A target of plain text is written as it is", "[fleet][target]") {
  CHECK(RequestTarget("/order").text() == "/order");
  CHECK(RequestTarget("/keep").AddSegment("17").text() == "/keep/17");
  RequestTarget target("/range");
  target.AddField("prefix", "").AddField("after", "servers/i-7f3a.91_c2~");
  CHECK(target.text() == "/range?prefix=&after=servers/i-7f3a.91_c2~");
}

// Text of others ended the target, or became a field of its own.
TEST_CASE("Any text is one field or one segment of a target",
          "[fleet][target]") {
  const std::string text("a&b=+%7e #?\"\r\n\0\xff", 16);
  RequestTarget target("/range");
  target.AddField("after", text);
  CHECK(target.text() ==
        "/range?after=a%26b%3D%2B%257e%20%23%3F%22%0D%0A%00%FF");
  CHECK(RequestTarget("/keep").AddSegment("../a/b?c").text() ==
        "/keep/..%2Fa%2Fb%3Fc");
}

}  // namespace yuccamoor::fleet
