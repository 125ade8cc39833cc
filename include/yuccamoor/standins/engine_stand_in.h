/// \file
/// \brief Stand-in for a model engine.

#ifndef YUCCAMOOR_STANDINS_ENGINE_STAND_IN_H_
#define YUCCAMOOR_STANDINS_ENGINE_STAND_IN_H_

#include <cstdint>
#include <mutex>
#include <string>

#include "yuccamoor/standins/engine_core.h"
#include "yuccamoor/standins/stand_in.h"

namespace yuccamoor {

class HttpClient;
class WorkerPool;

/// POST /v1/generate answers by server-sent events, 409 if the adapter is not
/// in a slot, 503 when leaving, 404 if the stream to resume is not there;
/// POST /v1/cancel; GET /report; POST /orders; GET /counters. A stream goes on
/// when its client has gone.
///
/// POST /faults as FaultSwitches, where a lost answer cuts a stream's
/// connection after its first token. Besides: "restart": lose everything and
/// go on as another instance; "leaving"; "fail_loads": N loads that fail;
/// "skip_reports": N reports that do not come.
class EngineStandIn final : public StandIn {
 public:
  /// Loads fetch from the weight store at \p store_address ("ip:port"), or take
  /// a fixed time if it is empty. The pool and the client must outlive this
  /// object, which the pool calls until it stops.
  EngineStandIn(WorkerPool& pool, HttpClient& client,
                const EngineOptions& options, std::string store_address);

  Awaitable<void> Handle(HttpExchange& exchange) override;

 private:
  Awaitable<void> HandleGenerate(HttpExchange& exchange);
  Awaitable<void> SendStream(HttpExchange& exchange, EngineStreamPtr stream,
                             GenerateRequest request);
  Awaitable<void> HandleCancel(HttpExchange& exchange);
  Awaitable<void> HandleReport(HttpExchange& exchange);
  Awaitable<void> HandleOrder(HttpExchange& exchange);
  Awaitable<OrderStatus> AwaitLoad(AdapterVersion target, InstanceId instance);
  Awaitable<bool> Fetch(AdapterVersion target);
  bool TakeFailure(std::uint32_t& left);
  void SetFaults(const std::string& body);
  std::string CountersJson() const;

  HttpClient& m_client;
  EngineOptions m_options;
  std::string m_store_address;
  FaultSwitches m_faults;
  SteadyClock m_clock;
  // Guards everything below, and the streams that the core hands out.
  mutable std::mutex m_mutex;
  EngineCore m_core;
  std::uint32_t m_fail_loads = 0;
  std::uint32_t m_skip_reports = 0;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_STANDINS_ENGINE_STAND_IN_H_
