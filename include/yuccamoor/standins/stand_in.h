/// \file
/// \brief What the stand-ins for the platform's services have in common: an
/// HTTP handler, and faults that are set by POST /faults.

#ifndef YUCCAMOOR_STANDINS_STAND_IN_H_
#define YUCCAMOOR_STANDINS_STAND_IN_H_

#include <cstdint>
#include <mutex>
#include <random>
#include <string_view>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/transport/asio.h"

namespace yuccamoor {

class HttpExchange;

/// A small fake of one of the platform's services.
class StandIn {
 public:
  virtual ~StandIn() = default;

  /// Handles one exchange. Called on any of the pool's threads.
  virtual Awaitable<void> Handle(HttpExchange& exchange) = 0;
};

/// The faults that every stand-in knows. Safe to use from several threads.
class FaultSwitches {
 public:
  /// Sets the faults that the JSON object names; the others stay.
  ///  - "down": refuse every call with 503, without effect;
  ///  - "slow_ms": wait before each call is handled;
  ///  - "lose_answer": cut the connection after the effect of the next N
  ///    calls, or "lose_probability" of all, drawn from "seed".
  /// Returns false, and changes nothing, if the text is not such an object.
  bool Set(std::string_view json_text);

  bool down() const;
  DurationMs slow() const;
  /// Whether to cut the connection of the call that was just handled.
  bool TakeLostAnswer();

 private:
  mutable std::mutex m_mutex;
  bool m_down = false;
  DurationMs m_slow;
  std::uint32_t m_lose_next = 0;
  double m_lose_probability = 0;
  std::mt19937_64 m_random;
};

/// Handles POST /faults for the switches; false if the exchange is another.
Awaitable<bool> HandleFaults(HttpExchange& exchange, FaultSwitches& faults);

/// Waits out "slow_ms" and answers 503 when down; true if it answered.
Awaitable<bool> HandleOutage(HttpExchange& exchange,
                             const FaultSwitches& faults);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_STANDINS_STAND_IN_H_
