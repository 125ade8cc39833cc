/// \file
/// \brief Interface to the control calls of engines.

#ifndef YUCCAMOOR_COORDINATION_FLEET_ENGINE_CONTROL_H_
#define YUCCAMOOR_COORDINATION_FLEET_ENGINE_CONTROL_H_

#include <functional>
#include <optional>

#include "yuccamoor/coordination/fleet/engine_host.h"
#include "yuccamoor/state/fleet/endpoint_entry.h"

namespace yuccamoor::fleet {

/// Sends control calls to engines. Each callback is invoked exactly once, on
/// the caller's event loop.
class EngineControl {
 public:
  virtual ~EngineControl() = default;

  /// Sends \p order and passes its outcome to \p done; kUnknown if the engine
  /// may have received it but did not answer.
  virtual void Order(const EndpointEntry& engine, const EngineOrder& order,
                     std::function<void(OrderOutcome)> done) = 0;
  /// Fetches the engine's report. Passes std::nullopt to \p done if there was
  /// no answer or it could not be parsed.
  virtual void FetchReport(
      const EndpointEntry& engine,
      std::function<void(std::optional<EngineReport>)> done) = 0;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_ENGINE_CONTROL_H_
