/// \file
/// \brief The requests that callers make: skewed popularity that shifts, a
/// ramp, and all callers at once after a power cut. The same seed plans the
/// same requests.

#ifndef YUCCAMOOR_STANDINS_WORKLOAD_H_
#define YUCCAMOOR_STANDINS_WORKLOAD_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor {

/// What callers do. Times are since the start.
struct WorkloadOptions {
  std::vector<AdapterVersion> targets;
  DurationMs duration{10'000};
  double requests_per_second = 10;
  /// The rate grows evenly to its full height over this time.
  DurationMs ramp;
  /// Requests that all come at the start.
  std::uint32_t power_cut = 0;
  /// The exponent of Zipf's law for the targets' popularity; 0: all alike.
  double skew = 1.0;
  /// When the popular targets become others; zero: never.
  DurationMs shift_at;
  /// The share of charges among all requests, from 0 to 1.
  double charge_share = 0;
  std::uint64_t seed = 1;
};

/// What a caller asks for.
enum class CallKind : std::uint8_t { kChat, kCharge };

/// One planned request. The number tells requests apart.
struct PlannedCall {
  DurationMs at;
  CallKind kind = CallKind::kChat;
  AdapterVersion target;
  std::uint64_t number = 0;
};

/// Plans requests in the order of their times.
class Workload {
 public:
  /// There must be at least one target.
  explicit Workload(WorkloadOptions options);

  /// Returns the next request, or nothing after the duration.
  std::optional<PlannedCall> Next();

 private:
  double Uniform();
  DurationMs NextArrival();
  const AdapterVersion& PickTarget(DurationMs at);

  WorkloadOptions m_options;
  std::mt19937_64 m_random;
  /// Sums of the popularities by rank.
  std::vector<double> m_cumulative;
  std::uint64_t m_planned = 0;
  double m_at_ms = 0;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_STANDINS_WORKLOAD_H_
