/// \file
/// \brief Calls of peers by JSON-RPC over HTTP.

#ifndef YUCCAMOOR_TRANSPORT_HTTP_PEER_CHANNEL_H_
#define YUCCAMOOR_TRANSPORT_HTTP_PEER_CHANNEL_H_

#include <string>

#include "yuccamoor/coordination/peer_channel.h"
#include "yuccamoor/transport/asio.h"

namespace yuccamoor {

class HttpClient;
class HttpExchange;
class JsonRpcDispatcher;
class WorkerPool;

/// The target of every JSON-RPC request.
constexpr const char* kPeerTarget = "/rpc";

/// Sends JSON-RPC requests over the HTTP client.
class HttpPeerChannel final : public PeerChannel {
 public:
  HttpPeerChannel(WorkerPool& pool, HttpClient& client)
      : m_pool(pool), m_client(client) {}

  void Call(const std::string& address, const std::string& method,
            const std::string& parameters, DurationMs timeout,
            Callback done) override;

 private:
  WorkerPool& m_pool;
  HttpClient& m_client;
};

/// Answers one JSON-RPC request that came over HTTP.
Awaitable<void> ServePeerCall(const JsonRpcDispatcher& dispatcher,
                              HttpExchange& exchange);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_HTTP_PEER_CHANNEL_H_
