/// \file
/// \brief The gateway's path of a chat, from its server to the engine, with a
/// leader in memory that grants at once.

#ifndef YUCCAMOOR_BENCHMARKS_GATEWAY_CHAT_HOST_H_
#define YUCCAMOOR_BENCHMARKS_GATEWAY_CHAT_HOST_H_

#include <cstdint>
#include <memory>
#include <string>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"
#include "yuccamoor/transport/daemon/telemetry.h"
#include "yuccamoor/transport/gateway/chat_service.h"
#include "yuccamoor/transport/http_client.h"
#include "yuccamoor/transport/http_server.h"
#include "yuccamoor/transport/worker_pool.h"

namespace yuccamoor {

class KeyValueService;
class PeerChannel;

/// The engine that serves the one target.
struct ChatHostEngine {
  AdapterVersion target;
  WorkerId worker;
  InstanceId instance;
  /// "ip:port".
  std::string address;
};

/// Serves chats on a free port of loopback.
class ChatHost {
 public:
  ChatHost(WorkerPool& pool, const ChatHostEngine& engine);
  ~ChatHost();

  std::uint16_t port() const { return m_server->port(); }

 private:
  WorkerPool& m_pool;
  SteadyClock m_clock;
  std::unique_ptr<HttpClient> m_client;
  std::unique_ptr<PeerChannel> m_leader;
  std::unique_ptr<KeyValueService> m_key_value;
  std::unique_ptr<ChatDirectory> m_directory;
  std::unique_ptr<Telemetry> m_telemetry;
  std::unique_ptr<ChatService> m_chat;
  std::unique_ptr<HttpServer> m_server;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_BENCHMARKS_GATEWAY_CHAT_HOST_H_
