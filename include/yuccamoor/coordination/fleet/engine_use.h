/// \file
/// \brief What a node reports to the holders of the engines that it uses.

#ifndef YUCCAMOOR_COORDINATION_FLEET_ENGINE_USE_H_
#define YUCCAMOOR_COORDINATION_FLEET_ENGINE_USE_H_

#include <cstdint>
#include <map>
#include <set>

#include "yuccamoor/coordination/fleet/fleet_view.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/fleet/endpoint_entry.h"

namespace yuccamoor::fleet {

/// Requests by engine and adapter.
using UsedAdapters = std::map<EndpointId, std::map<AdapterRef, std::uint32_t>>;

/// A node's use of the engines of one holder.
struct EngineUse {
  /// The node's requests in flight, by engine.
  std::map<EndpointId, std::uint32_t> in_flight;
  /// Requests begun since the last report, by engine and adapter. Adapters with
  /// requests in flight are listed too.
  UsedAdapters used;
};

/// Tracks one node's requests to engines. Reports go only to the holders of
/// engines that the node uses: soon after something has changed, and
/// repeatedly while requests are in flight, as reports may be lost.
class EngineUseReports {
 public:
  /// Counts a new request, whether or not an engine can serve it yet.
  void OnRequest(TimeMs now);
  void OnBegin(const EndpointId& engine, const AdapterRef& adapter);
  void OnEnd(const EndpointId& engine, const AdapterRef& adapter);

  /// Returns the reports that are due, by holder.
  std::map<NodeId, EngineUse> Take(
      const std::map<EndpointId, HolderRecord>& holders, TimeMs now);

  /// The node's new requests for engines per second, averaged over a second or
  /// two.
  double RequestRate(TimeMs now) const;

  /// Reports are repeated this often while requests are in flight.
  static constexpr DurationMs kRepeatInterval{500};

 private:
  std::map<EndpointId, std::map<AdapterRef, std::uint32_t>> m_running;
  UsedAdapters m_begun;
  std::set<EndpointId> m_changed;
  std::map<NodeId, TimeMs> m_reported;
  double m_recent_requests = 0;
  TimeMs m_recent_at;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_ENGINE_USE_H_
