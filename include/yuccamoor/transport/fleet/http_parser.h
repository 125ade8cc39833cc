/// \file
/// \brief Reads HTTP/1.1 messages from bytes as they come, by Beast's parser.

#ifndef YUCCAMOOR_TRANSPORT_FLEET_HTTP_PARSER_H_
#define YUCCAMOOR_TRANSPORT_FLEET_HTTP_PARSER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "yuccamoor/protocol/fleet/http_head.h"

namespace yuccamoor::fleet {

/// What is wrong with a message.
enum class HttpFault : std::uint8_t {
  kNone,
  kMalformed,
  kHeaderTooLong,
  kBodyTooLong,
};

/// Bounds on one message. The first one also holds for a chunk's size and for
/// trailers.
struct HttpParserLimits {
  std::uint32_t max_header_bytes = 65'536;
  std::uint64_t max_body_bytes = 16'777'216;

  friend bool operator==(const HttpParserLimits&,
                         const HttpParserLimits&) = default;
};

/// Parses one message at a time.
class HttpParser {
 public:
  enum class Kind : std::uint8_t { kRequest, kResponse };

  static std::unique_ptr<HttpParser> Create(Kind kind,
                                            const HttpParserLimits& limits);

  virtual ~HttpParser() = default;

  /// Takes bytes off the front of \p bytes until the message is whole or more
  /// is needed. What it leaves is passed again with more behind it. Body bytes
  /// are appended to body().
  virtual HttpFault Consume(std::string_view& bytes) = 0;
  /// The same with a buffer. For one message: the rest is moved each time.
  HttpFault Feed(std::string& buffer);
  /// Notes the end of the connection; true if that completes the message.
  virtual bool FinishAtEnd() = 0;
  /// Makes the parser ready for the next message; a response to HEAD has no
  /// body whatever its header says.
  virtual void Restart(bool expect_no_body) = 0;

  virtual bool started() const = 0;
  virtual bool has_head() const = 0;
  virtual bool complete() const = 0;
  /// Whether the connection can carry another message after this one.
  virtual bool keep_alive() const = 0;
  virtual HttpHead& head() = 0;
  /// The body bytes that nobody has taken yet.
  virtual std::string& body() = 0;
  /// The memory, in bytes, that the message's head and body take up so far.
  virtual std::size_t kept_bytes() const = 0;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_TRANSPORT_FLEET_HTTP_PARSER_H_
