/// \file
/// \brief Builders of entries and configurations for fleet tests.

#ifndef YUCCAMOOR_UNITTESTS_COORDINATION_FLEET_FLEET_FAKES_H_
#define YUCCAMOOR_UNITTESTS_COORDINATION_FLEET_FLEET_FAKES_H_

#include <string>

#include "yuccamoor/state/fleet/endpoint_entry.h"
#include "yuccamoor/state/fleet/fleet_config.h"

namespace yuccamoor::fleet {

inline const ModelId kModel("m");
inline const ServiceId kEngines("engines");

inline AdapterRef Adapter(const std::string& name) { return {kModel, name}; }

inline EndpointEntry EngineEntry(const std::string& id) {
  EndpointEntry entry;
  entry.id = EndpointId(id);
  entry.service = kEngines;
  entry.address = "10.0.0.1:80";
  entry.domain = FailureDomainId("a");
  entry.slots = 64;
  entry.start_unix_ms = 1;
  entry.models = {kModel};
  return entry;
}

inline FleetConfig EngineConfig(std::uint64_t version) {
  FleetConfig config;
  config.version = Revision(version);
  ServiceSpec service;
  service.service = kEngines;
  service.engine = EngineSpec{64, 29, {{kModel, DurationMs(1'300)}}};
  config.services[kEngines] = service;
  return config;
}

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_UNITTESTS_COORDINATION_FLEET_FLEET_FAKES_H_
