/// \file
/// \brief Implementation of the connection for command-line programs.

#include "yuccamoor/transport/config/kv_connection.h"

#include <random>
#include <utility>

#include "yuccamoor/coordination/config/segment_collector.h"
#include "yuccamoor/transport/config/kv_call_runner.h"
#include "yuccamoor/transport/http_client.h"
#include "yuccamoor/transport/platform/http_key_value_service.h"
#include "yuccamoor/transport/worker_pool.h"

namespace yuccamoor {

KvConnection::KvConnection(const std::string& address)
    : m_pool(std::make_unique<WorkerPool>(1)),
      m_client(HttpClient::Create(*m_pool)),
      m_service(HttpKeyValueService::Create(*m_pool, *m_client, address)) {
  m_pool->Start();
}

KvConnection::~KvConnection() { m_pool->Stop(); }

KvReply KvConnection::Call(KvRequest request) {
  constexpr DurationMs kTimeout{5'000};
  KvReply result;
  KvCalls calls{{KvCallId(1), std::move(request), {}}};
  RunKvCalls(*m_service, m_clock, m_clock.Now() + kTimeout, std::move(calls),
             [&result](KvCallId, const KvReply& reply) {
               result = reply;
               return KvCalls();
             });
  return result;
}

PublishOutcome KvConnection::Publish(PublishRequest request,
                                     const ConfigCodec& codec,
                                     DurationMs timeout) {
  std::random_device device;
  const double random = static_cast<double>(device()) /
                        (static_cast<double>(std::random_device::max()) + 1.0);
  Publisher publisher(std::move(request), codec, random);
  RunKvCalls(*m_service, m_clock, m_clock.Now() + timeout, publisher.Begin(),
             [&publisher](KvCallId id, const KvReply& reply) {
               return publisher.OnReply(id, reply);
             });
  publisher.GiveUp();
  return publisher.outcome();
}

void KvConnection::CollectSegments(const ConfigCodec& codec,
                                   DurationMs timeout) {
  SegmentCollector collector(codec);
  RunKvCalls(*m_service, m_clock, m_clock.Now() + timeout, collector.Begin(),
             [&collector](KvCallId id, const KvReply& reply) {
               return collector.OnReply(id, reply);
             });
}

PublisherNonce MakePublisherNonce() {
  constexpr int kWords = 2;
  std::random_device device;
  std::string nonce;
  for (int i = 0; i < kWords; ++i) nonce += std::to_string(device()) + ".";
  return PublisherNonce(nonce);
}

}  // namespace yuccamoor
