/// \file
/// \brief What an engine's holder offers a request.

#ifndef YUCCAMOOR_COORDINATION_FLEET_ENGINE_QUOTE_H_
#define YUCCAMOOR_COORDINATION_FLEET_ENGINE_QUOTE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/fleet/endpoint_entry.h"

namespace yuccamoor::fleet {

/// An engine's offer to one request, by its holder.
struct EngineQuote {
  EndpointId engine;
  /// The adapter's version that the engine holds; empty if it holds none that
  /// may serve the request.
  std::optional<AdapterRevision> version;
  /// Estimated time until the adapter is loaded, zero if it is; empty if the
  /// engine cannot load it.
  std::optional<DurationMs> adapter_wait;
  /// Estimated time until the prompt may be sent once the adapter is loaded;
  /// zero if it may be sent now.
  DurationMs prompt_wait{0};
  /// Requests in flight at the engine.
  std::uint32_t requests = 0;
  /// Adapters being loaded by the engine.
  std::uint32_t loading = 0;
};

/// A holder's answer to a request for admission.
struct AdmissionAnswer {
  EngineQuote quote;
  /// The engines to choose from, if the adapter has copies. The quote counts
  /// only if its engine is among them. Empty if there is no other choice.
  std::vector<EndpointId> choices;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_ENGINE_QUOTE_H_
