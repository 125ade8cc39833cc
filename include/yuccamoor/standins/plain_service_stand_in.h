/// \file
/// \brief Stand-in for a plain service, such as a booking service.

#ifndef YUCCAMOOR_STANDINS_PLAIN_SERVICE_STAND_IN_H_
#define YUCCAMOOR_STANDINS_PLAIN_SERVICE_STAND_IN_H_

#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>

#include "yuccamoor/standins/stand_in.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor {

struct HttpRequest;

/// Runs a call of any path by appending it to a ledger. GET /ledger gives the
/// entries in order, each with the request's Idempotency-Key or X-Request-Id,
/// method and path, and the newest arrival after leaving began. POST /faults as
/// FaultSwitches, with "leaving": refuse new calls, unrun, by 503 with
/// Connection: close and Yuccamoor-Not-Run: true; and "run_ms": how long a call
/// runs.
class PlainServiceStandIn final : public StandIn {
 public:
  explicit PlainServiceStandIn(EndpointId endpoint);

  Awaitable<void> Handle(HttpExchange& exchange) override;

 private:
  struct LedgerEntry {
    std::string key;
    std::string method;
    std::string path;
  };

  Awaitable<void> HandleCall(HttpExchange& exchange);
  void SetFaults(const std::string& body);
  /// Notes the arrival; returns whether the endpoint is leaving.
  bool RefuseAsLeaving();
  void Append(const HttpRequest& request, const std::string& key);
  DurationMs RunTime() const;
  std::string LedgerJson() const;

  EndpointId m_endpoint;
  FaultSwitches m_faults;
  SteadyClock m_clock;
  // Guards everything below.
  mutable std::mutex m_mutex;
  std::deque<LedgerEntry> m_ledger;
  std::uint64_t m_dropped_entries = 0;
  DurationMs m_run_time;
  std::optional<TimeMs> m_leaving_since;
  std::uint64_t m_refused = 0;
  DurationMs m_last_refusal;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_STANDINS_PLAIN_SERVICE_STAND_IN_H_
