/// \file
/// \brief One request's search for an engine, by asking the engines' holders.
///
/// The first engine by rendezvous hash of the adapter is its home. The home's
/// holder sees all requests for the adapter: it has it loaded, and knows the
/// copies. The load that a choice rests on is as old as one round trip, and the
/// number of messages depends on the requests, not on the size of the fleet.

#ifndef YUCCAMOOR_COORDINATION_FLEET_ADMISSION_REQUEST_H_
#define YUCCAMOOR_COORDINATION_FLEET_ADMISSION_REQUEST_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "yuccamoor/coordination/fleet/engine_quote.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor::fleet {

/// A question to an engine's holder.
struct AdmissionAsk {
  EndpointId engine;
  /// Whether the engine is asked as the adapter's home.
  bool as_home = false;
  /// Whether to queue the request at the engine until it is admitted.
  bool enqueue = false;
};

/// What to do next for a request.
struct AdmissionStep {
  std::vector<AdmissionAsk> asks;
  /// The engine that admits the request now.
  std::optional<EndpointId> send_to;
  /// No holder has answered; the choice is left to the caller.
  bool unanswered = false;
};

/// The state of one request. Questions and answers may be lost.
class AdmissionRequest {
 public:
  /// Returns the usable engines in rendezvous order of the request's adapter.
  using Ranking = std::function<std::vector<EndpointId>()>;

  /// \p any_engine is set if every engine can serve the request, because it
  /// needs the base model only. \p random should be uniform over requests.
  AdmissionRequest(std::uint64_t random, bool any_engine);

  /// Call it several times a second until the request is sent or ends. After
  /// send_to, the next call starts anew.
  AdmissionStep Poll(const Ranking& ranking, TimeMs now);
  /// Handles an answer of an engine's holder.
  AdmissionStep OnAnswer(const AdmissionAnswer& answer, TimeMs now);
  /// Records that an engine has loaded the request's adapter.
  void OnLoaded(const EndpointId& engine);

  /// When the request can be sent according to the last answers.
  std::optional<TimeMs> expected() const { return m_expected; }
  /// Whether the request waits for its adapter to be loaded.
  bool waits_for_load() const { return m_stage == Stage::kLoading; }

 private:
  enum class Stage : std::uint8_t {
    kStart,
    /// The home was asked.
    kHome,
    /// Some of the adapter's copies were asked.
    kCopies,
    /// An engine loads the adapter.
    kLoading,
    /// The request is queued at an engine that holds the adapter.
    kQueued,
  };

  AdmissionStep Start(const Ranking& ranking, TimeMs now);
  AdmissionStep AskHome(std::size_t attempt, TimeMs now);
  AdmissionStep AskNextHome(TimeMs now);
  AdmissionStep AskCopies(TimeMs now);
  AdmissionStep TakeHomeAnswer(const AdmissionAnswer& answer, TimeMs now);
  AdmissionStep Refresh(TimeMs now);
  AdmissionStep Decide(TimeMs now);
  bool AllAnswered() const;

  std::uint64_t m_random;
  bool m_any_engine;
  Stage m_stage = Stage::kStart;
  TimeMs m_start_from;
  std::vector<EndpointId> m_ranking;
  std::size_t m_attempt = 0;
  TimeMs m_asked_at;
  TimeMs m_heard_at;
  // The engines asked, with their quotes once they have answered.
  std::map<EndpointId, std::optional<EngineQuote>> m_quotes;
  // The engine whose load or queue the request waits for.
  EndpointId m_engine;
  bool m_ask_now = false;
  std::optional<TimeMs> m_expected;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_ADMISSION_REQUEST_H_
