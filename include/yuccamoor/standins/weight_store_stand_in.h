/// \file
/// \brief Stand-in for the platform's weight store.

#ifndef YUCCAMOOR_STANDINS_WEIGHT_STORE_STAND_IN_H_
#define YUCCAMOOR_STANDINS_WEIGHT_STORE_STAND_IN_H_

#include <cstdint>
#include <mutex>
#include <string>

#include "yuccamoor/standins/stand_in.h"
#include "yuccamoor/standins/token_bucket.h"

namespace yuccamoor {

/// Limits of the stand-in.
struct WeightStoreOptions {
  double loads_per_second = 0;
  double burst = 2;
  std::uint32_t full_speed_in_flight = 8;
  DurationMs load_time{250};
};

/// Answers POST /fetch after the load time, or proportionally later while more
/// fetches run than the full-speed number; 429 above the rate. GET /counters
/// gives fetches, breaches of the rate and the most that ran at once. POST
/// /faults as FaultSwitches, with "fail_next": N fetches that end with 500.
class WeightStoreStandIn final : public StandIn {
 public:
  explicit WeightStoreStandIn(const WeightStoreOptions& options);

  Awaitable<void> Handle(HttpExchange& exchange) override;

 private:
  Awaitable<void> HandleFetch(HttpExchange& exchange);
  /// Shares the store's speed among the fetches that run.
  Awaitable<void> Transfer();
  bool Begin();
  bool End();
  bool SetFailures(const std::string& body);
  std::string CountersJson() const;

  WeightStoreOptions m_options;
  FaultSwitches m_faults;
  SteadyClock m_clock;
  // Guards everything below.
  mutable std::mutex m_mutex;
  TokenBucket m_bucket;
  std::uint32_t m_in_flight = 0;
  std::uint32_t m_max_in_flight = 0;
  std::uint32_t m_fail_next = 0;
  std::uint64_t m_fetches = 0;
  std::uint64_t m_failed = 0;
  std::uint64_t m_rate_breaches = 0;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_STANDINS_WEIGHT_STORE_STAND_IN_H_
