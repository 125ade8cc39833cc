/// \file
/// \brief Collects what streams show of the engines' speed, and tells the
/// engines' holders.
///
/// A node sees its own streams only. In a large fleet the holder of an engine
/// paces all prompts to it, so nodes report to it what they have seen.

#ifndef YUCCAMOOR_COORDINATION_FLEET_ENGINE_PACES_H_
#define YUCCAMOOR_COORDINATION_FLEET_ENGINE_PACES_H_

#include <cstdint>
#include <map>
#include <optional>

#include "yuccamoor/coordination/fleet/endpoint_table.h"
#include "yuccamoor/coordination/fleet/engine_pace.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/fleet/endpoint_entry.h"
#include "yuccamoor/state/fleet/fleet_config.h"

namespace yuccamoor::fleet {

/// Returns the least of the gaps between events that routes to the service
/// allow; zero if none sets one.
DurationMs ShortestEventGap(const FleetConfig& config,
                            const ServiceId& service);

/// A stream as its node has seen it at its engine.
struct ObservedStream {
  EndpointId engine;
  std::uint32_t prompt_tokens = 0;
  /// The engine's requests when this one was sent, this one excluded.
  std::uint32_t streams = 0;
  TimeMs sent;
  TimeMs first_event;
};

/// The paces of the endpoints in a table, which must outlive this.
class EnginePaces {
 public:
  explicit EnginePaces(EndpointTable& endpoints) : m_endpoints(endpoints) {}

  /// Takes the limits of gaps between events from the configuration.
  void OnConfig(const FleetConfig& config);

  /// Notes a stream's first event, and what the response has said of the load.
  void OnFirstEvent(const ObservedStream& stream,
                    const std::optional<EndpointLoad>& load);
  /// Notes that a stream has ended after \p events events.
  void OnStreamEnd(const ObservedStream& stream, std::uint64_t events,
                   TimeMs now);
  /// Notes what another node has seen.
  void OnReport(const EndpointId& engine, const PaceSample& sample, TimeMs now);

  /// Returns what is due to be reported, by engine: at once if an engine states
  /// another speed, else after a while.
  std::map<EndpointId, PaceSample> TakeReports(TimeMs now);

 private:
  struct Report {
    PaceSample sample;
    // The percentage that was reported last, and when.
    std::uint32_t told_percent = 100;
    TimeMs told;
  };

  void Learn(const EndpointId& engine, const PaceSample& sample, TimeMs now);
  void ShowUsual(const ServiceId& service);

  EndpointTable& m_endpoints;
  std::map<ServiceId, ServicePace> m_services;
  std::map<ServiceId, DurationMs> m_gaps;
  std::map<EndpointId, Report> m_reports;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_ENGINE_PACES_H_
