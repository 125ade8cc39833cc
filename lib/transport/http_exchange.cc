/// \file
/// \brief Implementation of one exchange of the HTTP server.

#include "http_exchange.h"

#include <sys/socket.h>

#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <chrono>
#include <utility>

namespace yuccamoor {
namespace {

namespace http = boost::beast::http;

template <class Message>
void CopyHeaders(const HttpHeaders& from, Message& to) {
  for (const auto& [name, value] : from) to.insert(name, value);
}

}  // namespace

BeastExchange::BeastExchange(boost::beast::tcp_stream& stream,
                             HttpRequest request, bool keep_alive,
                             DurationMs write_timeout)
    : m_stream(stream),
      m_request(std::move(request)),
      m_keep_alive(keep_alive),
      m_write_timeout(write_timeout) {}

Awaitable<void> BeastExchange::Send(HttpResponse response) {
  http::response<http::string_body> message;
  message.version(11);
  message.result(static_cast<unsigned>(response.status));
  CopyHeaders(response.headers, message);
  if (response.headers.Find("Connection") == "close") m_keep_alive = false;
  message.keep_alive(m_keep_alive);
  message.body() = std::move(response.body);
  message.prepare_payload();
  StartWriteTimeout();
  co_await http::async_write(m_stream, message, asio::use_awaitable);
  m_finished = true;
}

Awaitable<void> BeastExchange::StartStream(int status, HttpHeaders headers) {
  http::response<http::empty_body> message;
  message.version(11);
  message.result(static_cast<unsigned>(status));
  CopyHeaders(headers, message);
  message.keep_alive(m_keep_alive);
  message.chunked(true);
  http::response_serializer<http::empty_body> serializer(message);
  StartWriteTimeout();
  co_await http::async_write_header(m_stream, serializer, asio::use_awaitable);
}

Awaitable<void> BeastExchange::Write(std::string_view chunk) {
  StartWriteTimeout();
  const auto buffer = asio::buffer(chunk.data(), chunk.size());
  co_await asio::async_write(m_stream, http::make_chunk(buffer),
                             asio::use_awaitable);
}

Awaitable<void> BeastExchange::FinishStream() {
  StartWriteTimeout();
  co_await asio::async_write(m_stream, http::make_chunk_last(),
                             asio::use_awaitable);
  m_finished = true;
}

bool BeastExchange::ClientGone() {
  char byte = 0;
  const auto got = ::recv(m_stream.socket().native_handle(), &byte, 1,
                          MSG_PEEK | MSG_DONTWAIT);
  if (got == 0) return true;
  return got < 0 && errno != EAGAIN && errno != EWOULDBLOCK;
}

void BeastExchange::StartWriteTimeout() {
  m_stream.expires_after(std::chrono::milliseconds(m_write_timeout.ms()));
}

}  // namespace yuccamoor
