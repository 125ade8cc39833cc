/// \file
/// \brief Where adapters with many requests have copies, at the holder of their
/// home engine.
///
/// Load pattern: few adapters get most of the requests, more than one engine
/// can serve. All requests for an adapter pass by its home, which therefore can
/// count them, have copies loaded, and spread the requests over these.

#ifndef YUCCAMOOR_COORDINATION_FLEET_COPY_DIRECTORY_H_
#define YUCCAMOOR_COORDINATION_FLEET_COPY_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "yuccamoor/coordination/fleet/adapter_popularity.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/fleet/endpoint_entry.h"

namespace yuccamoor::fleet {

/// A request for an adapter as its home sees it.
struct HomeRequest {
  AdapterRef adapter;
  /// Uniform over requests.
  std::uint64_t number = 0;
  EndpointId home;
  /// Whether the home itself holds the adapter.
  bool home_holds = false;
  /// Whether the home held it lately, and loads it from its host memory.
  bool home_held_lately = false;
  /// The number of engines that can serve the adapter.
  std::uint32_t engines = 0;
  /// Requests per second to all engines.
  double fleet_rate = 0;
  /// Requests in flight at the home, and at the average engine.
  std::uint32_t home_requests = 0;
  double mean_requests = 0;
};

/// The engines for one request.
struct CopyChoice {
  /// Engines to choose from, two at most. Empty if the home is the only one.
  std::vector<EndpointId> choices;
  /// Engines that should load the adapter, or confirm that they hold it.
  std::vector<EndpointId> to_load;
};

/// The copies of all adapters whose home this node holds.
class CopyDirectory {
 public:
  /// Returns the engines in rendezvous order of the adapter, the home first.
  using Ranking = std::function<std::vector<EndpointId>()>;

  /// Counts a request, and chooses engines for it.
  CopyChoice OnRequest(const HomeRequest& request, const Ranking& ranking,
                       TimeMs now);
  /// Records that an engine holds the adapter.
  void OnLoaded(const AdapterRef& adapter, const EndpointId& engine,
                TimeMs now);
  /// Removes adapters that are hardly requested any more.
  void Expire(TimeMs now);

 private:
  struct Copy {
    std::optional<TimeMs> asked;
    std::optional<TimeMs> confirmed;
  };
  using Copies = std::map<EndpointId, Copy>;

  // Where an adapter's requests go that a busy home passed on.
  struct PassedOn {
    EndpointId engine;
    TimeMs requested;
  };

  static bool IsBusy(const HomeRequest& request);
  CopyChoice ChooseSingle(const HomeRequest& request, const Ranking& ranking,
                          TimeMs now);
  std::uint32_t DesiredCopies(const HomeRequest& request, TimeMs now) const;
  static bool IsReady(const Copy& copy, TimeMs now);

  // The home sees all requests for the adapter.
  static constexpr double kMinRequests = 3;

  AdapterPopularity m_popularity{kMinRequests};
  std::map<AdapterRef, Copies> m_copies;
  std::map<AdapterRef, PassedOn> m_passed_on;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_COPY_DIRECTORY_H_
