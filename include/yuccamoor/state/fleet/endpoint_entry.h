/// \file
/// \brief What endpoints say of themselves, and the adapters that they hold.

#ifndef YUCCAMOOR_STATE_FLEET_ENDPOINT_ENTRY_H_
#define YUCCAMOOR_STATE_FLEET_ENDPOINT_ENTRY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor::fleet {

/// The version of an adapter. Zero: no version is known, any will do.
using AdapterRevision = NumberId<struct AdapterRevisionTag>;

/// An adapter of a base model. Without an adapter's name, the bare model.
struct AdapterRef {
  ModelId model;
  std::string name;

  friend auto operator<=>(const AdapterRef&, const AdapterRef&) = default;
};

/// Writes "model/name", or "model" for the bare model.
std::string ToString(const AdapterRef& adapter);

/// Parses what ToString writes.
AdapterRef ParseAdapterRef(std::string_view text);

/// The adapters that an engine holds, with their versions.
using AdapterSet = std::map<AdapterRef, AdapterRevision>;

/// One endpoint's registration.
struct EndpointEntry {
  EndpointId id;
  ServiceId service;
  /// "ip:port".
  std::string address;
  FailureDomainId domain;
  std::uint32_t slots = 1;
  bool draining = false;
  /// Milliseconds since the Unix epoch at which this process started; tells a
  /// restart under the same id.
  std::uint64_t start_unix_ms = 0;
  std::vector<ModelId> models;
  AdapterSet adapters;
};

/// An engine's own report. It is some hundred milliseconds old.
struct EngineReport {
  std::uint64_t start_unix_ms = 0;
  /// Orders that the engine has accepted since its start.
  std::uint64_t orders_accepted = 0;
  bool order_in_progress = false;
  std::vector<ModelId> models;
  AdapterSet adapters;
  /// Adapters that are being loaded.
  AdapterSet loading;
};

/// An endpoint's load as it says it in an answer.
struct EndpointLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_STATE_FLEET_ENDPOINT_ENTRY_H_
