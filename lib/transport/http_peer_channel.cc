/// \file
/// \brief Implementation of the peer channel.

#include "yuccamoor/transport/http_peer_channel.h"

#include <glog/logging.h>

#include "yuccamoor/transport/http_client.h"
#include "yuccamoor/transport/http_server.h"
#include "yuccamoor/transport/json_rpc.h"
#include "yuccamoor/transport/worker_pool.h"

namespace yuccamoor {
namespace {

std::optional<std::string> ResultOf(const HttpReply& reply) {
  if (reply.progress != HttpProgress::kAnswered) return std::nullopt;
  try {
    return DecodeJsonRpcResponse(reply.response.body);
  } catch (const JsonRpcError& error) {
    VLOG(1) << "event=peer_call_failed error=\"" << error.what() << '"';
    return std::nullopt;
  }
}

}  // namespace

void HttpPeerChannel::Call(const std::string& address,
                           const std::string& method,
                           const std::string& parameters, DurationMs timeout,
                           Callback done) {
  HttpRequest request;
  request.method = "POST";
  request.target = kPeerTarget;
  request.headers.Add("Content-Type", "application/json");
  request.body = EncodeJsonRpcRequest(method, parameters);
  HttpCallOptions options;
  options.timeout = timeout;
  m_pool.Spawn([this, address, request = std::move(request), options,
                done = std::move(done)]() -> Awaitable<void> {
    const HttpReply reply = co_await m_client.Call(address, request, options);
    done(ResultOf(reply));
  });
}

Awaitable<void> ServePeerCall(const JsonRpcDispatcher& dispatcher,
                              HttpExchange& exchange) {
  co_await exchange.Send(
      JsonResponse(200, dispatcher.Handle(exchange.request().body)));
}

}  // namespace yuccamoor
