/// \file
/// \brief Driver of the engines' order and report side over HTTP.

#ifndef YUCCAMOOR_TRANSPORT_PLATFORM_HTTP_ENGINE_CLIENT_H_
#define YUCCAMOOR_TRANSPORT_PLATFORM_HTTP_ENGINE_CLIENT_H_

#include <memory>
#include <string>

#include "yuccamoor/coordination/engine_client.h"

namespace yuccamoor {

class HttpClient;
class WorkerPool;

/// Sends orders as POST /orders, each on a connection of its own, and reads
/// reports by GET /report. An order is never sent twice.
class HttpEngineClient final : public EngineClient {
 public:
  /// The pool, the client and the clock must outlive this object and its calls.
  static std::unique_ptr<HttpEngineClient> Create(WorkerPool& pool,
                                                  HttpClient& client,
                                                  const Clock& clock);

  void Order(const std::string& address, const EngineOrder& order,
             TimeMs send_before, DurationMs timeout,
             OrderCallback done) override;
  void Report(const std::string& address, DurationMs timeout,
              ReportCallback done) override;

 private:
  HttpEngineClient(WorkerPool& pool, HttpClient& client, const Clock& clock);

  WorkerPool& m_pool;
  HttpClient& m_client;
  const Clock& m_clock;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_PLATFORM_HTTP_ENGINE_CLIENT_H_
