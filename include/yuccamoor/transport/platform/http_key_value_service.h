/// \file
/// \brief Driver of the key-value service over HTTP.

#ifndef YUCCAMOOR_TRANSPORT_PLATFORM_HTTP_KEY_VALUE_SERVICE_H_
#define YUCCAMOOR_TRANSPORT_PLATFORM_HTTP_KEY_VALUE_SERVICE_H_

#include <memory>
#include <string>

#include "yuccamoor/coordination/key_value_service.h"

namespace yuccamoor {

class HttpClient;
class WorkerPool;

/// Carries each call as one POST /kv. A call is never sent twice. A lost answer
/// ends a write as kUnknown and a read as kUnavailable.
class HttpKeyValueService final : public KeyValueService {
 public:
  /// The pool and the client must outlive the service. \p address is "ip:port".
  static std::unique_ptr<HttpKeyValueService> Create(WorkerPool& pool,
                                                     HttpClient& client,
                                                     std::string address);

  void Call(KvRequest request, DurationMs timeout, Callback done) override;

 private:
  HttpKeyValueService(WorkerPool& pool, HttpClient& client,
                      std::string address);

  WorkerPool& m_pool;
  HttpClient& m_client;
  std::string m_address;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_PLATFORM_HTTP_KEY_VALUE_SERVICE_H_
