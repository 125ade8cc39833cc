/// \file
/// \brief Implementation of the bare relay.

#include "relay.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <utility>

namespace yuccamoor {
namespace {

namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

constexpr std::size_t kPieceBytes = 16'384;

/// A socket and what was read from it ahead.
struct Side {
  explicit Side(Tcp::socket opened) : socket(std::move(opened)) {
    socket.set_option(Tcp::no_delay(true));
  }
  Tcp::socket socket;
  boost::beast::flat_buffer buffer;
};

asio::awaitable<void> RelayBody(Side& caller, Side& upstream,
                                http::response_parser<http::buffer_body>& in) {
  std::array<char, kPieceBytes> piece;
  while (!in.is_done()) {
    in.get().body().data = piece.data();
    in.get().body().size = piece.size();
    Error error;
    co_await http::async_read_some(
        upstream.socket, upstream.buffer, in,
        asio::redirect_error(asio::use_awaitable, error));
    if (error && error != http::error::need_buffer) throw error;
    const std::size_t got = piece.size() - in.get().body().size;
    if (got == 0) continue;
    const auto chunk = http::make_chunk(asio::buffer(piece.data(), got));
    co_await asio::async_write(caller.socket, chunk, asio::use_awaitable);
  }
  co_await asio::async_write(caller.socket, http::make_chunk_last(),
                             asio::use_awaitable);
}

asio::awaitable<void> RelayOne(Side& caller, Side& upstream) {
  http::request<http::string_body> request;
  co_await http::async_read(caller.socket, caller.buffer, request,
                            asio::use_awaitable);
  co_await http::async_write(upstream.socket, request, asio::use_awaitable);
  http::response_parser<http::buffer_body> in;
  in.body_limit(boost::none);
  co_await http::async_read_header(upstream.socket, upstream.buffer, in,
                                   asio::use_awaitable);
  http::response<http::empty_body> head;
  head.result(in.get().result());
  head.chunked(true);
  http::response_serializer<http::empty_body> serializer(head);
  co_await http::async_write_header(caller.socket, serializer,
                                    asio::use_awaitable);
  co_await RelayBody(caller, upstream, in);
}

asio::awaitable<void> Serve(std::shared_ptr<Tcp::socket> accepted,
                            Tcp::endpoint endpoint) {
  Tcp::socket socket(accepted->get_executor());
  co_await socket.async_connect(endpoint, asio::use_awaitable);
  Side caller(std::move(*accepted));
  Side upstream(std::move(socket));
  try {
    for (;;) co_await RelayOne(caller, upstream);
  } catch (const std::exception&) {
    // The caller has closed its connection.
  } catch (const Error&) {
  }
}

asio::awaitable<void> AcceptAll(std::shared_ptr<Tcp::acceptor> acceptor,
                                Tcp::endpoint endpoint) {
  for (;;) {
    auto socket = std::make_shared<Tcp::socket>(
        co_await acceptor->async_accept(asio::use_awaitable));
    asio::co_spawn(
        acceptor->get_executor(),
        [socket, endpoint] { return Serve(socket, endpoint); }, asio::detached);
  }
}

}  // namespace

std::uint16_t StartRelay(asio::io_context& context,
                         const std::string& upstream) {
  const std::size_t colon = upstream.rfind(':');
  const Tcp::endpoint endpoint(
      asio::ip::make_address(upstream.substr(0, colon)),
      static_cast<std::uint16_t>(std::stoul(upstream.substr(colon + 1))));
  const Tcp::endpoint local(asio::ip::address_v4::loopback(), 0);
  auto acceptor = std::make_shared<Tcp::acceptor>(context, local);
  const std::uint16_t port = acceptor->local_endpoint().port();
  asio::co_spawn(
      context, [acceptor, endpoint] { return AcceptAll(acceptor, endpoint); },
      asio::detached);
  return port;
}

}  // namespace yuccamoor
