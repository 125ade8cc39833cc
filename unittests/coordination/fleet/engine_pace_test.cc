/// \file
/// \brief Tests of what is learned of engines' speed, and of late streams at
/// engines that differ in speed.

#include "yuccamoor/coordination/fleet/engine_pace.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "coordination/fleet/fleet_fakes.h"
#include "yuccamoor/coordination/fleet/engine_paces.h"
#include "yuccamoor/coordination/fleet/prefill_pacing.h"
#include "yuccamoor/coordination/fleet/prompt_queue.h"

namespace yuccamoor::fleet {
namespace {

constexpr int kTickMs = 5;
constexpr DurationMs kMaxGap{300};
constexpr DurationMs kObjective{800};
constexpr int kTokensPerEvent = 9;
constexpr double kStepMs = 4.5;
constexpr double kTokensPerMs = 38;
constexpr double kChunkTokens = 4'096;

struct Stream {
  std::uint64_t number = 0;
  TimeMs arrived;
  std::uint32_t tokens = 0;
  int events_left = 0;
  int events = 0;
  // Prompt tokens, then tokens of the event, that are still to come.
  double prompt_left = 0;
  int event_left = kTokensPerEvent;
  ObservedStream observed;
  TimeMs last_event;
  bool is_late = false;
};

// Each step prefills up to one chunk, then generates a token of each stream
// whose prompt is prefilled.
struct SimulatedEngine {
  EndpointId id;
  double usual_factor = 1;
  double moment_factor = 1;
  double step_ends_ms = 0;
  std::vector<Stream> streams;
  PromptQueue queue;
};

// A prompt in the queue of one of the two engines that hold its adapter.
struct WaitingPrompt {
  SimulatedEngine* engine = nullptr;
  SimulatedEngine* other = nullptr;
  PendingPrompt prompt;
  TimeMs asked;
};

enum class Pacing { kFixed, kLearned };

// Engines of which a third takes 2.5 times as long as the others, and a third
// of all takes 2.5 times as long for spells of 600 ms.
class UnevenEngines {
 public:
  UnevenEngines(Pacing pacing, std::uint32_t seed)
      : m_pacing(pacing), m_random(seed), m_moments(seed + 1) {
    for (int i = 0; i < kEngines; ++i) {
      EndpointEntry entry = EngineEntry("e" + std::to_string(i));
      entry.slots = 16;
      m_table.Put(entry, TimeMs(0));
      auto engine = std::make_unique<SimulatedEngine>();
      engine->id = entry.id;
      engine->usual_factor = i % 3 == 0 ? 1.75 : 0.7;
      m_engines.push_back(std::move(engine));
    }
    FleetConfig config = EngineConfig(1);
    RouteSpec route;
    route.max_event_gap = kMaxGap;
    route.shares.emplace_back().service = fleet::kEngines;
    config.routes = {route};
    m_paces.OnConfig(config);
  }

  // Returns the share of late streams.
  double Run(int end_ms) {
    std::exponential_distribution<double> distances(kEngines * 0.0045);
    double next_ms = 0;
    for (m_ms = 0; m_ms < end_ms; m_ms += kTickMs) {
      if (m_ms % 600 == 0) DrawMoments();
      for (; next_ms <= m_ms; next_ms += distances(m_random)) Arrive();
      if (m_pacing == Pacing::kLearned) AskAgain();
      for (auto& engine : m_engines) Tick(*engine);
    }
    return static_cast<double>(m_late) / m_ended;
  }

 private:
  static constexpr int kEngines = 12;

  TimeMs Now() const { return TimeMs(m_ms); }

  void DrawMoments() {
    std::bernoulli_distribution slow(1.0 / 3);
    for (auto& engine : m_engines) {
      engine->moment_factor = slow(m_moments) ? 2.5 : 1;
    }
  }

  PrefillLoad LoadOf(const SimulatedEngine& engine) {
    Endpoint& endpoint = *m_table.Find(engine.id);
    endpoint.in_flight = static_cast<std::uint32_t>(engine.streams.size());
    PrefillLoad load = PrefillLoadOf(endpoint, Now());
    if (m_pacing == Pacing::kFixed) load.pace = EnginePace();
    return load;
  }

  double Cost(SimulatedEngine& engine, const PendingPrompt& prompt) {
    const PrefillLoad load = LoadOf(engine);
    const DurationMs wait = engine.queue.Quote(prompt, load, Now());
    engine.queue.OnSent(prompt.id);
    const Endpoint& endpoint = *m_table.Find(engine.id);
    const double work_time =
        m_pacing == Pacing::kFixed
            ? 1
            : endpoint.speed.Lasting(Now()) * load.pace.momentary;
    const double first_event =
        m_pacing == Pacing::kFixed
            ? 0
            : load.pace.PrefillMs(prompt.tokens) +
                  load.pace.EventIntervalMs(load.requests);
    return static_cast<double>(wait.ms()) + first_event +
           static_cast<double>(kWaitMsPerRequest) * load.requests * work_time;
  }

  // Two engines hold the request's adapter.
  void Arrive() {
    std::lognormal_distribution<double> sizes(6.3, 0.9);
    std::lognormal_distribution<double> lengths(3.2, 0.7);
    Stream stream;
    stream.number = ++m_number;
    stream.arrived = Now();
    stream.tokens =
        static_cast<std::uint32_t>(std::min(sizes(m_random), 3'300.0));
    stream.events_left =
        static_cast<int>(std::clamp(lengths(m_random), 4.0, 100.0));
    stream.prompt_left = stream.tokens;
    const std::size_t first = m_random() % kEngines;
    const std::size_t second =
        (first + 1 + m_random() % (kEngines - 1)) % kEngines;
    const PendingPrompt prompt{{NodeId("n"), stream.number},
                               stream.tokens,
                               0,
                               Now() + DurationMs(680),
                               TenantId()};
    SimulatedEngine& one = *m_engines[first];
    SimulatedEngine& two = *m_engines[second];
    SimulatedEngine& best = Cost(two, prompt) < Cost(one, prompt) ? two : one;
    best.queue.Enqueue(prompt, LoadOf(best), Now());
    m_waiting[stream.number] = stream;
    SimulatedEngine& other = &best == &one ? two : one;
    m_queued[stream.number] = {&best, &other, prompt, Now()};
  }

  // Nodes ask both engines again while their prompts wait.
  void AskAgain() {
    for (auto& [number, queued] : m_queued) {
      if (Now() - queued.asked < DurationMs(250)) continue;
      queued.asked = Now();
      const double cost = Cost(*queued.engine, queued.prompt);
      if (Cost(*queued.other, queued.prompt) + 50 >= cost) continue;
      std::swap(queued.engine, queued.other);
    }
  }

  void Tick(SimulatedEngine& engine) {
    for (const auto& [number, queued] : m_queued) {
      if (queued.engine != &engine) continue;
      engine.queue.Enqueue(queued.prompt, LoadOf(engine), Now());
    }
    for (const AdmissionId& id : engine.queue.Admit(LoadOf(engine), Now())) {
      Begin(engine, id);
    }
    while (engine.step_ends_ms < m_ms + kTickMs) Step(engine);
  }

  void Begin(SimulatedEngine& engine, const AdmissionId& id) {
    Stream stream = m_waiting.at(id.number);
    m_waiting.erase(id.number);
    m_queued.erase(id.number);
    stream.observed = {engine.id, stream.tokens,
                       static_cast<std::uint32_t>(engine.streams.size()), Now(),
                       Now()};
    Endpoint& endpoint = *m_table.Find(engine.id);
    if (m_pacing == Pacing::kFixed) {
      endpoint.speed = EndpointSpeed();
      endpoint.usual_pace = EnginePace();
    }
    RecordPrompt(endpoint, stream.tokens, Now());
    engine.queue.OnSent(id);
    engine.streams.push_back(stream);
  }

  void Step(SimulatedEngine& engine) {
    double chunk = kChunkTokens;
    std::vector<Stream*> generating;
    for (Stream& stream : engine.streams) {
      const double part = std::min(chunk, stream.prompt_left);
      stream.prompt_left -= part;
      chunk -= part;
      if (stream.prompt_left == 0) generating.push_back(&stream);
    }
    const double work_ms = kStepMs + (kChunkTokens - chunk) / kTokensPerMs;
    const double factor = engine.usual_factor * engine.moment_factor;
    engine.step_ends_ms =
        std::max(engine.step_ends_ms, static_cast<double>(m_ms)) +
        work_ms * factor;
    const TimeMs end(static_cast<std::int64_t>(engine.step_ends_ms));
    for (Stream* stream : generating) {
      // The first event comes with the first token.
      if (stream->events > 0 && --stream->event_left > 0) continue;
      stream->event_left = kTokensPerEvent;
      OnEvent(engine, *stream, end);
    }
    std::erase_if(engine.streams,
                  [](const Stream& stream) { return stream.events_left == 0; });
  }

  void OnEvent(const SimulatedEngine& engine, Stream& stream, TimeMs at) {
    const DurationMs since =
        stream.events == 0 ? at - stream.arrived : at - stream.last_event;
    if (since > (stream.events == 0 ? kObjective : kMaxGap)) {
      stream.is_late = true;
    }
    stream.last_event = at;
    if (++stream.events == 1) {
      stream.observed.first_event = at;
      EndpointLoad load;
      load.work_time_percent =
          static_cast<std::uint32_t>(engine.moment_factor * 100);
      m_paces.OnFirstEvent(stream.observed, load);
    }
    if (--stream.events_left > 0) return;
    m_paces.OnStreamEnd(stream.observed,
                        static_cast<std::uint64_t>(stream.events), at);
    ++m_ended;
    if (stream.is_late) ++m_late;
  }

  Pacing m_pacing;
  std::mt19937 m_random;
  // Apart, so that both pacings see the same moments.
  std::mt19937 m_moments;
  EndpointTable m_table;
  EnginePaces m_paces{m_table};
  std::vector<std::unique_ptr<SimulatedEngine>> m_engines;
  std::map<std::uint64_t, Stream> m_waiting;
  std::map<std::uint64_t, WaitingPrompt> m_queued;
  std::uint64_t m_number = 0;
  int m_ms = 0;
  int m_ended = 0;
  int m_late = 0;
};

EndpointSpeed SpeedAfter(const PaceSample& sample, int samples) {
  EndpointSpeed speed;
  for (int i = 0; i < samples; ++i) speed.Add(sample, TimeMs(i));
  return speed;
}

}  // namespace

TEST_CASE("Streams are late at engines that are slower than the others",
          "[fleet][pace][load]") {
  // Guards against pacing every engine by the figures of one.
  double fixed = 0;
  double learned = 0;
  for (std::uint32_t seed = 1; seed <= 10; ++seed) {
    fixed += UnevenEngines(Pacing::kFixed, seed).Run(60'000);
    learned += UnevenEngines(Pacing::kLearned, seed).Run(60'000);
  }
  CAPTURE(fixed / 10, learned / 10);
  CHECK(learned <= fixed / 3);
}

TEST_CASE("An absurd statement or interval throws an engine's pace off",
          "[fleet][pace]") {
  // Guards against estimates without bounds.
  const EndpointSpeed speed = SpeedAfter({1'000.0, 1'000'000}, 50);
  const TimeMs now(50);
  CHECK(speed.Lasting(now) <= EndpointSpeed::kMaxFactor);
  CHECK(speed.Momentary(now) <= EndpointSpeed::kMaxFactor);
  CHECK(SpeedAfter({1'000.0, std::nullopt}, 1).Lasting(TimeMs(1)) < 2);
  CHECK(SpeedAfter({0.0, std::nullopt}, 50).Lasting(now) == 1);
}

TEST_CASE("An engine that was slow is never tried again", "[fleet][pace]") {
  // Guards against an estimate that only the engine's own requests can mend.
  const EndpointSpeed speed = SpeedAfter({2.5, 250}, 50);
  CHECK(speed.Lasting(TimeMs(50)) > 2);
  CHECK(speed.Momentary(TimeMs(50)) > 2);
  CHECK(speed.Lasting(TimeMs(180'000)) < 1.05);
  CHECK(speed.Momentary(TimeMs(180'000)) < 1.05);
}

TEST_CASE("Nodes all send to the engine that has just become fast",
          "[fleet][pace][load]") {
  // Guards against a choice by speed that ignores what the others send.
  EndpointTable table;
  table.Put(EngineEntry("e1"), TimeMs(0));
  Endpoint& engine = *table.Find(EndpointId("e1"));
  engine.speed.Add({std::nullopt, 100}, TimeMs(0));
  PromptQueue queue;
  int admitted = 0;
  for (std::uint64_t i = 0; i < 40; ++i) {
    const PendingPrompt prompt{
        {NodeId("n"), i}, 1'200, 0, TimeMs(700), TenantId()};
    const PrefillLoad load = PrefillLoadOf(engine, TimeMs(0));
    if (queue.Quote(prompt, load, TimeMs(0)) == DurationMs(0)) ++admitted;
  }
  CHECK(admitted >= 1);
  CHECK(admitted <= 4);
}

TEST_CASE("A node that sends one request a minute takes an engine for usual",
          "[fleet][pace]") {
  // Guards against estimates that only busy nodes have.
  EndpointTable table;
  table.Put(EngineEntry("e1"), TimeMs(0));
  EnginePaces busy(table);
  const ObservedStream stream{EndpointId("e1"), 800, 4, TimeMs(0), TimeMs(60)};
  EndpointLoad load;
  load.work_time_percent = 250;
  busy.OnFirstEvent(stream, load);
  const auto reports = busy.TakeReports(TimeMs(61));
  REQUIRE(reports.size() == 1);
  // The holder answers for all nodes, also if it has sent nothing there.
  EndpointTable holders_table;
  holders_table.Put(EngineEntry("e1"), TimeMs(0));
  EnginePaces holder(holders_table);
  holder.OnReport(EndpointId("e1"), reports.begin()->second, TimeMs(62));
  const Endpoint& engine = *holders_table.Find(EndpointId("e1"));
  CHECK(engine.PaceAt(TimeMs(62)).momentary == Approx(2.5).margin(0.05));
  // What has not changed much is not told each time.
  busy.OnFirstEvent(stream, load);
  CHECK(busy.TakeReports(TimeMs(70)).empty());
}

TEST_CASE("Gaps between events are limited by another service's route",
          "[fleet][pace]") {
  // Guards against one limit for all services.
  FleetConfig config = EngineConfig(1);
  for (const int gap_ms : {0, 400, 300}) {
    RouteSpec route;
    route.max_event_gap = DurationMs(gap_ms);
    route.shares.emplace_back().service = kEngines;
    config.routes.push_back(route);
  }
  RouteSpec other;
  other.max_event_gap = DurationMs(100);
  other.shares.emplace_back().service = ServiceId("others");
  config.routes.push_back(other);
  CHECK(ShortestEventGap(config, kEngines) == DurationMs(300));
  CHECK(ShortestEventGap(config, ServiceId("none")) == DurationMs(0));
}

}  // namespace yuccamoor::fleet
