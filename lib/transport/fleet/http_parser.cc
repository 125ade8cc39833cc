#include "yuccamoor/transport/fleet/http_parser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <optional>

#include "yuccamoor/transport/fleet/kept_bytes.h"

namespace yuccamoor::fleet {

namespace {

namespace http = boost::beast::http;
using boost::beast::string_view;
using ErrorCode = boost::beast::error_code;

// Collects what Beast's parser finds.
template <bool kIsRequest>
class Collector final : public http::basic_parser<kIsRequest> {
 public:
  HttpHead m_head;
  std::string m_body;
  bool m_has_head = false;

 private:
  static std::string ToText(string_view text) {
    return {text.data(), text.size()};
  }

  void on_request_impl(http::verb /*method*/, string_view method,
                       string_view target, int /*version*/,
                       ErrorCode& error) override {
    error = {};
    m_head.method = ToText(method);
    m_head.target = ToText(target);
  }
  void on_response_impl(int status, string_view /*reason*/, int /*version*/,
                        ErrorCode& error) override {
    error = IsResponseStatus(status) ? ErrorCode()
                                     : ErrorCode(http::error::bad_status);
    m_head.status = status;
  }
  void on_field_impl(http::field /*field*/, string_view name, string_view value,
                     ErrorCode& error) override {
    error = {};
    // Trailer fields come after the head and are dropped.
    if (!m_has_head) m_head.fields.push_back({ToText(name), ToText(value)});
  }
  void on_header_impl(ErrorCode& error) override {
    error = {};
    m_has_head = true;
  }
  void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/,
                         ErrorCode& error) override {
    error = {};
  }
  std::size_t on_body_impl(string_view body, ErrorCode& error) override {
    error = {};
    m_body.append(body.data(), body.size());
    return body.size();
  }
  void on_chunk_header_impl(std::uint64_t /*size*/, string_view /*extensions*/,
                            ErrorCode& error) override {
    error = {};
  }
  std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, string_view body,
                                 ErrorCode& error) override {
    error = {};
    m_body.append(body.data(), body.size());
    return body.size();
  }
  void on_finish_impl(ErrorCode& error) override { error = {}; }
};

HttpFault ToFault(const ErrorCode& error) {
  if (error == http::error::header_limit) return HttpFault::kHeaderTooLong;
  if (error == http::error::body_limit) return HttpFault::kBodyTooLong;
  return HttpFault::kMalformed;
}

template <bool kIsRequest>
class BeastParser final : public HttpParser {
 public:
  explicit BeastParser(const HttpParserLimits& limits) : m_limits(limits) {
    Restart(false);
  }

  HttpFault Consume(std::string_view& bytes) override {
    while (!bytes.empty() && !m_collector->is_done()) {
      ErrorCode error;
      const std::size_t n = m_collector->put(
          boost::asio::const_buffer(bytes.data(), bytes.size()), error);
      bytes.remove_prefix(n);
      if (error == http::error::need_more) break;
      if (error) return ToFault(error);
      if (n == 0) break;
    }
    return CheckRemainder(bytes.size());
  }

  bool FinishAtEnd() override {
    if (!m_collector->is_header_done() || m_collector->is_done()) {
      return m_collector->is_done();
    }
    if (!m_collector->need_eof()) return false;
    ErrorCode error;
    m_collector->put_eof(error);
    return !error && m_collector->is_done();
  }

  void Restart(bool expect_no_body) override {
    m_collector.emplace();
    m_collector->eager(true);
    m_collector->header_limit(m_limits.max_header_bytes);
    m_collector->body_limit(m_limits.max_body_bytes);
    if (expect_no_body) m_collector->skip(true);
  }

  bool started() const override { return m_collector->got_some(); }
  bool has_head() const override { return m_collector->m_has_head; }
  bool complete() const override { return m_collector->is_done(); }
  bool keep_alive() const override { return m_collector->keep_alive(); }
  HttpHead& head() override { return m_collector->m_head; }
  std::string& body() override { return m_collector->m_body; }
  std::size_t kept_bytes() const override {
    const HttpHead& head = m_collector->m_head;
    std::size_t bytes = HeapBytes(m_collector->m_body) +
                        head.fields.capacity() * sizeof(HeaderField);
    for (const HeaderField& field : head.fields) {
      bytes += field.name.size() + field.value.size();
    }
    return bytes;
  }

 private:
  // What is left is the beginning of a header, of a chunk's size or
  // of trailers. A peer in trouble may go on with it without end.
  HttpFault CheckRemainder(std::size_t rest) const {
    if (m_collector->is_done()) return HttpFault::kNone;
    if (rest <= m_limits.max_header_bytes) return HttpFault::kNone;
    return m_collector->m_has_head ? HttpFault::kMalformed
                                   : HttpFault::kHeaderTooLong;
  }

  HttpParserLimits m_limits;
  std::optional<Collector<kIsRequest>> m_collector;
};

}  // namespace

HttpFault HttpParser::Feed(std::string& buffer) {
  std::string_view rest = buffer;
  const HttpFault fault = Consume(rest);
  buffer.erase(0, buffer.size() - rest.size());
  return fault;
}

std::unique_ptr<HttpParser> HttpParser::Create(Kind kind,
                                               const HttpParserLimits& limits) {
  if (kind == Kind::kRequest) {
    return std::make_unique<BeastParser<true>>(limits);
  }
  return std::make_unique<BeastParser<false>>(limits);
}

}  // namespace yuccamoor::fleet
