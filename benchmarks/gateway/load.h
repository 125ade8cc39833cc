/// \file
/// \brief Callers of streamed answers that ask again as soon as they have one.

#ifndef YUCCAMOOR_BENCHMARKS_GATEWAY_LOAD_H_
#define YUCCAMOOR_BENCHMARKS_GATEWAY_LOAD_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/transport/http.h"

namespace yuccamoor {

/// What to ask, and how often.
struct LoadPlan {
  /// "ip:port".
  std::string address;
  /// Makes the request of the number.
  std::function<HttpRequest(std::uint64_t)> request;
  std::size_t callers = 1;
  DurationMs duration{5'000};
};

/// What the callers saw.
struct LoadResult {
  std::uint64_t answers = 0;
  std::uint64_t failures = 0;
  std::uint64_t events = 0;
  double events_per_second = 0;
  /// From the sending to the first event.
  double first_event_p50_ms = 0;
  double first_event_p99_ms = 0;
};

/// Runs the callers on \p threads threads until the time is over.
LoadResult RunLoad(const LoadPlan& plan, std::size_t threads);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_BENCHMARKS_GATEWAY_LOAD_H_
