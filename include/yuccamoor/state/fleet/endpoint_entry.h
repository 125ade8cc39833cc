/// \file
/// \brief Registrations and status reports of endpoints, and the adapters that
/// they have loaded.

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

/// The version of an adapter. Zero means that no version is known and any is
/// acceptable.
using AdapterRevision = NumberId<struct AdapterRevisionTag>;

/// A part of a prompt. Requests that share it name it alike.
using PromptPartId = StringId<struct PromptPartIdTag>;

/// An adapter of a base model. An empty name stands for the base model itself.
struct AdapterRef {
  ModelId model;
  std::string name;

  friend auto operator<=>(const AdapterRef&, const AdapterRef&) = default;
};

/// Returns "model/name", or "model" for the base model itself.
std::string ToString(const AdapterRef& adapter);

/// Parses the output of ToString. Never fails: text without a slash is the name
/// of a base model.
AdapterRef ParseAdapterRef(std::string_view text);

/// The adapters that an engine has loaded, with their versions.
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
  /// Start time of the endpoint's process, in milliseconds since the Unix
  /// epoch. Distinguishes a restart under the same id. Zero if the entry does
  /// not state it.
  std::uint64_t start_unix_ms = 0;
  std::vector<ModelId> models;
  AdapterSet adapters;
};

/// One process of an endpoint: a restart under the same id is another one.
struct EndpointProcess {
  EndpointId endpoint;
  /// As EndpointEntry::start_unix_ms.
  std::uint64_t start_unix_ms = 0;

  friend auto operator<=>(const EndpointProcess&,
                          const EndpointProcess&) = default;
};

/// An engine's status report. Some hundred milliseconds old when it is used.
struct EngineReport {
  /// As EndpointEntry::start_unix_ms.
  std::uint64_t start_unix_ms = 0;
  /// Orders that the engine has accepted since its start.
  std::uint64_t orders_accepted = 0;
  bool order_in_progress = false;
  std::vector<ModelId> models;
  AdapterSet adapters;
  /// Adapters being loaded.
  AdapterSet loading;
};

/// The load that an endpoint reports in a response.
struct EndpointLoad {
  /// Requests.
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  /// The time that work takes there at present, in percent of the usual time;
  /// empty if the endpoint does not state it.
  std::optional<std::uint32_t> work_time_percent{};
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_STATE_FLEET_ENDPOINT_ENTRY_H_
