/// \file
/// \brief A connection to the key-value service for a command-line program.

#ifndef YUCCAMOOR_TRANSPORT_CONFIG_KV_CONNECTION_H_
#define YUCCAMOOR_TRANSPORT_CONFIG_KV_CONNECTION_H_

#include <memory>
#include <string>

#include "yuccamoor/coordination/config/publisher.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/key_value.h"

namespace yuccamoor {

class HttpClient;
class KeyValueService;
class WorkerPool;

/// Owns the thread, the client and the driver.
class KvConnection {
 public:
  /// \p address is "ip:port".
  explicit KvConnection(const std::string& address);
  ~KvConnection();
  KvConnection(const KvConnection&) = delete;
  KvConnection& operator=(const KvConnection&) = delete;

  KeyValueService& service() { return *m_service; }
  const Clock& clock() const { return m_clock; }

  /// Makes one call and waits for its reply.
  KvReply Call(KvRequest request);

  /// Runs the publication until its end or for the given time.
  PublishOutcome Publish(PublishRequest request, const ConfigCodec& codec,
                         DurationMs timeout);

  /// Deletes the segments that no listed publication needs.
  void CollectSegments(const ConfigCodec& codec, DurationMs timeout);

 private:
  SteadyClock m_clock;
  std::unique_ptr<WorkerPool> m_pool;
  std::unique_ptr<HttpClient> m_client;
  std::unique_ptr<KeyValueService> m_service;
};

/// Returns a nonce that no other publication has.
PublisherNonce MakePublisherNonce();

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_CONFIG_KV_CONNECTION_H_
