/// \file
/// \brief Interface to an engine's control calls.

#ifndef YUCCAMOOR_COORDINATION_FLEET_ENGINE_CONTROL_H_
#define YUCCAMOOR_COORDINATION_FLEET_ENGINE_CONTROL_H_

#include <functional>
#include <optional>

#include "yuccamoor/coordination/fleet/engine_host.h"
#include "yuccamoor/state/fleet/endpoint_entry.h"

namespace yuccamoor::fleet {

/// Calls engines. Each callback is called exactly once, from the event loop
/// of the caller.
class EngineControl {
 public:
  virtual ~EngineControl() = default;

  virtual void Order(const EndpointEntry& engine, const EngineOrder& order,
                     std::function<void(OrderOutcome)> done) = 0;
  /// Reports nothing if there was no answer that can be read.
  virtual void FetchReport(
      const EndpointEntry& engine,
      std::function<void(std::optional<EngineReport>)> done) = 0;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_ENGINE_CONTROL_H_
