/// \file
/// \brief Interface to the order and report side of a model engine.

#ifndef YUCCAMOOR_COORDINATION_ENGINE_CLIENT_H_
#define YUCCAMOOR_COORDINATION_ENGINE_CLIENT_H_

#include <functional>
#include <optional>
#include <string>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/engine.h"

namespace yuccamoor {

/// Carries orders to engines and reads their load reports. Safe to use from
/// several threads.
class EngineClient {
 public:
  using OrderCallback = std::function<void(OrderResult)>;
  using ReportCallback = std::function<void(std::optional<EngineReport>)>;

  virtual ~EngineClient() = default;

  /// Sends the order to the engine at \p address ("ip:port"). Checks
  /// \p send_before on the process's clock right before the first byte is
  /// written; past it the order ends as OrderStatus::kNotSent. \p done is
  /// called exactly once, no later than \p timeout.
  virtual void Order(const std::string& address, const EngineOrder& order,
                     TimeMs send_before, DurationMs timeout,
                     OrderCallback done) = 0;

  /// Reads the engine's load report; nothing if it does not come in time.
  virtual void Report(const std::string& address, DurationMs timeout,
                      ReportCallback done) = 0;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_ENGINE_CLIENT_H_
