/// \file
/// \brief Tests of messages that never end.

#include "yuccamoor/transport/fleet/http_parser.h"

#include <catch2/catch.hpp>
#include <string>

namespace yuccamoor::fleet {
namespace {

constexpr std::size_t kPiece = 16'384;
constexpr int kPieces = 64;

// Feeds the beginning and then the same text again and again, as it comes from
// a peer. Returns how much was buffered when the parser refused it.
std::size_t FeedWithoutEnd(const std::string& beginning,
                           const std::string& text, HttpFault& fault) {
  const auto parser = HttpParser::Create(HttpParser::Kind::kResponse, {});
  std::string buffer = beginning;
  std::string piece;
  while (piece.size() < kPiece) piece += text;
  for (int i = 0; i < kPieces; ++i) {
    fault = parser->Feed(buffer);
    if (fault != HttpFault::kNone) break;
    buffer += piece;
  }
  return buffer.size() + parser->body().size();
}

}  // namespace

// Failure: a server in trouble sends bytes that are no answer until the client
// closes. They were collected until the request's deadline.
TEST_CASE("Bytes without end are refused soon", "[fleet][endless]") {
  HttpFault fault = HttpFault::kNone;
  std::size_t buffered = 0;
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  SECTION("in a start line") {
    buffered = FeedWithoutEnd("HTTP/1.1 200 ", "x", fault);
  }
  SECTION("in a head") {
    buffered = FeedWithoutEnd("HTTP/1.1 200 OK\r\n", "A: b\r\n", fault);
  }
  SECTION("in a chunk's size line") {
    buffered = FeedWithoutEnd(chunked + "5;ext=", "x", fault);
  }
  SECTION("in trailers") {
    buffered = FeedWithoutEnd(chunked + "0\r\n", "A: b\r\n", fault);
  }
  CHECK(fault != HttpFault::kNone);
  CHECK(buffered <= 10 * kPiece);
}

TEST_CASE("A long body is not taken for bytes without end",
          "[fleet][endless]") {
  const auto parser = HttpParser::Create(HttpParser::Kind::kResponse, {});
  constexpr std::size_t kBody = 1'000'000;
  std::string buffer = "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" +
                       std::string(kBody, 'x');
  CHECK(parser->Feed(buffer) == HttpFault::kNone);
  CHECK(parser->complete());
  CHECK(parser->body().size() == kBody);
}

}  // namespace yuccamoor::fleet
