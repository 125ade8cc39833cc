/// \file
/// \brief Tests of prefill pacing against a simulated engine whose steps
/// prefill prompts between the tokens of its streams.

#include "yuccamoor/coordination/fleet/prefill_pacing.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <random>

#include "coordination/fleet/fleet_fakes.h"

namespace yuccamoor::fleet {
namespace {

// Performance of the users' engines.
constexpr double kStepMs = 6.5;
constexpr double kTokensPerMs = 38.7;
constexpr double kChunkTokens = 4'096;
constexpr int kStepsPerEvent = 5;
// Start of the prompts. The engine's streams have had several events by then.
constexpr int kBurstMs = 200;

// Simulates the steps of one engine: each prefills up to one chunk, then
// generates a token of each stream.
class SimulatedEngine {
 public:
  void Add(double tokens) { m_backlog += tokens; }

  // Advances to the time and returns the longest interval in milliseconds of
  // one event so far.
  double RunUntil(double ms) {
    while (m_now < ms) {
      const double chunk = std::min(m_backlog, kChunkTokens);
      m_backlog -= chunk;
      m_now += kStepMs + chunk / kTokensPerMs;
      m_ends.push_back(m_now);
      if (m_ends.size() > kStepsPerEvent) {
        m_longest = std::max(m_longest, m_now - m_ends.front());
        m_ends.pop_front();
      }
    }
    return m_longest;
  }

 private:
  double m_now = 0;
  double m_backlog = 0;
  double m_longest = 0;
  std::deque<double> m_ends;
};

// Simulates 16 prompts that arrive at once. Returns the longest interval
// between events in milliseconds.
double SimulateBurst(bool paced, std::uint32_t seed) {
  std::mt19937 random(seed);
  std::lognormal_distribution<double> sizes(6.4, 0.8);
  Endpoint endpoint(EngineEntry("e1"));
  SimulatedEngine engine;
  std::deque<std::uint32_t> waiting;
  for (int i = 0; i < 16; ++i) {
    waiting.push_back(
        static_cast<std::uint32_t>(std::min(sizes(random), 3'300.0)));
  }
  double longest = 0;
  for (int ms = 0; ms < 4'000; ms += 10) {
    const TimeMs now(ms);
    while (ms >= kBurstMs && !waiting.empty()) {
      if (paced && !AllowsPrompt(endpoint, {waiting.front()}, now)) break;
      RecordPrompt(endpoint, waiting.front(), now);
      engine.Add(waiting.front());
      waiting.pop_front();
    }
    longest = engine.RunUntil(ms);
  }
  CHECK(waiting.empty());
  return longest;
}

// How a prompt is treated that has waited for most of its objective.
enum class NearDeadlinePolicy { kUsesPauseAllowance, kSendsAtOnce };

// Simulates prompts that take 45% of the engine's time and arrive in clusters,
// as clients send them. Returns the longest interval between events in
// milliseconds.
double SimulateLoad(NearDeadlinePolicy policy, std::uint32_t seed) {
  constexpr int kEndMs = 20'000;
  constexpr double kPromptsPerMs = 0.017;
  constexpr DurationMs kObjective{800};
  constexpr DurationMs kNearDeadlineAfter{550};
  struct Prompt {
    TimeMs arrived;
    std::uint32_t tokens;
  };
  std::mt19937 random(seed);
  std::lognormal_distribution<double> sizes(6.4, 1.0);
  std::exponential_distribution<double> distances(kPromptsPerMs);
  Endpoint endpoint(EngineEntry("e1"));
  SimulatedEngine engine;
  std::deque<Prompt> waiting;
  double next_ms = kBurstMs;
  double longest = 0;
  for (int ms = 0; ms < kEndMs; ms += 10) {
    const TimeMs now(ms);
    for (; next_ms <= ms; next_ms += distances(random)) {
      const double tokens = std::min(sizes(random), 6'800.0);
      waiting.push_back({now, static_cast<std::uint32_t>(tokens)});
    }
    std::deque<Prompt> still_waiting;
    for (const Prompt& prompt : waiting) {
      const DurationMs waited = now - prompt.arrived;
      const bool near_deadline =
          waited >= kNearDeadlineAfter && waited < kObjective;
      const bool sends_at_once = waited >= kNearDeadlineAfter &&
                                 policy == NearDeadlinePolicy::kSendsAtOnce;
      const auto urgency = near_deadline ? PromptUrgency::kNearDeadline
                                         : PromptUrgency::kCanWait;
      if (!sends_at_once &&
          !AllowsPrompt(endpoint, {prompt.tokens, urgency}, now)) {
        still_waiting.push_back(prompt);
        continue;
      }
      RecordPrompt(endpoint, prompt.tokens, now);
      engine.Add(prompt.tokens);
    }
    waiting = std::move(still_waiting);
    longest = engine.RunUntil(ms);
  }
  return longest;
}

}  // namespace

TEST_CASE("A burst of prompts does not make running streams late",
          "[fleet][pacing][load]") {
  // Demand shifts to one adapter, and all nodes send its prompts to one engine
  // at once. Streams are late after 250 ms between events.
  for (std::uint32_t seed = 1; seed <= 50; ++seed) {
    CAPTURE(seed);
    CHECK(SimulateBurst(true, seed) <= 250);
  }
  CHECK(SimulateBurst(false, 1) > 250);
}

TEST_CASE("Prompts that have waited long make no running stream late",
          "[fleet][pacing][load]") {
  // Under high load, prompts take nearly half of an engine's time and some have
  // waited for most of their objective. Sending these at once makes every
  // stream at the engine late.
  int late_if_sent_at_once = 0;
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    CHECK(SimulateLoad(NearDeadlinePolicy::kUsesPauseAllowance, seed) <= 250);
    if (SimulateLoad(NearDeadlinePolicy::kSendsAtOnce, seed) > 250)
      ++late_if_sent_at_once;
  }
  CHECK(late_if_sent_at_once >= 10);
}

TEST_CASE("Nodes that hold prompts back do not all send at once",
          "[fleet][pacing][load]") {
  // Requests of a busy adapter wait at all nodes for the same engine.
  constexpr int kNodes = 9;
  constexpr std::uint32_t kTokens = 1'000;
  Endpoint endpoint(EngineEntry("e1"));
  for (int i = 0; i < 5; ++i) RecordPrompt(endpoint, kTokens, TimeMs(0));
  int max_newly_allowed = 0;
  for (int ms = 0; ms < 400; ++ms) {
    // Counts prompts first allowed in this millisecond, before any node has
    // reported its own.
    int newly_allowed = 0;
    for (int node = 0; node < kNodes; ++node) {
      const PromptOffer offer{kTokens, PromptUrgency::kCanWait,
                              node / (kNodes - 1.0)};
      const bool now = AllowsPrompt(endpoint, offer, TimeMs(ms));
      if (now && !AllowsPrompt(endpoint, offer, TimeMs(ms - 1)))
        ++newly_allowed;
    }
    max_newly_allowed = std::max(max_newly_allowed, newly_allowed);
  }
  CHECK(max_newly_allowed == 1);
}

TEST_CASE("An engine with many streams takes shorter bursts",
          "[fleet][pacing]") {
  Endpoint endpoint(EngineEntry("e1"));
  RecordPrompt(endpoint, 2'400, TimeMs(0));
  CHECK(AllowsPrompt(endpoint, {900}, TimeMs(0)));
  endpoint.peers_in_flight = 60;
  CHECK_FALSE(AllowsPrompt(endpoint, {900}, TimeMs(0)));
  endpoint.peers_in_flight = endpoint.entry.slots;
  CHECK_FALSE(AllowsPrompt(endpoint, {1}, TimeMs(500)));
}

TEST_CASE("A large prompt goes when nothing else is prefilled",
          "[fleet][pacing]") {
  Endpoint endpoint(EngineEntry("e1"));
  CHECK(AllowsPrompt(endpoint, {8'000}, TimeMs(0)));
  RecordPrompt(endpoint, 800, TimeMs(0));
  CHECK_FALSE(AllowsPrompt(endpoint, {8'000}, TimeMs(1)));
  CHECK(AllowsPrompt(endpoint, {800}, TimeMs(1)));
  CHECK(AllowsPrompt(endpoint, {8'000}, TimeMs(100)));
}

}  // namespace yuccamoor::fleet
