/// \file
/// \brief Stand-in for the platform's key-value service.

#ifndef YUCCAMOOR_STANDINS_KEY_VALUE_STAND_IN_H_
#define YUCCAMOOR_STANDINS_KEY_VALUE_STAND_IN_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "yuccamoor/standins/key_value_table.h"
#include "yuccamoor/standins/stand_in.h"
#include "yuccamoor/standins/token_bucket.h"

namespace yuccamoor {

/// Rates of the stand-in, in calls per second; zero: no limit.
struct KeyValueStandInOptions {
  double writes_per_second = 0;
  double reads_per_second = 0;
};

/// Answers POST /kv; GET /counters gives the calls by operation, those refused
/// for the rate, and the bytes taken and given; POST /faults as FaultSwitches.
class KeyValueStandIn final : public StandIn {
 public:
  explicit KeyValueStandIn(const KeyValueStandInOptions& options);

  Awaitable<void> Handle(HttpExchange& exchange) override;

 private:
  Awaitable<KvReply> HandleCall(KvRequest request);
  KvReply ApplyWithinRate(const KvRequest& request);
  Awaitable<void> WaitForChange(KvWatch watch);
  std::string CountersJson() const;
  void Count(const std::string& name, std::uint64_t amount);

  FaultSwitches m_faults;
  SteadyClock m_clock;
  // Guards everything below.
  mutable std::mutex m_mutex;
  KeyValueTable m_table;
  TokenBucket m_writes;
  TokenBucket m_reads;
  std::map<std::string, std::uint64_t> m_counters;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_STANDINS_KEY_VALUE_STAND_IN_H_
