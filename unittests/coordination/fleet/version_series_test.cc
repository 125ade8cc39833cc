/// \file
/// \brief Plays random series of adapter versions, in virtual time: every node
/// learns of a version after a delay of its own, engines replace what they hold
/// some time later or not at all, and requests choose an engine and begin there
/// a little later.

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "coordination/fleet/fleet_fakes.h"
#include "yuccamoor/coordination/fleet/endpoint_choice.h"
#include "yuccamoor/coordination/fleet/fleet_view.h"

namespace yuccamoor::fleet {
namespace {

// A request may begin on an older version for this long after a newer one was
// published.
constexpr DurationMs kVersionTime{5'000};
// A node accepts the version before for this long after it learned of a newer
// one.
constexpr DurationMs kGrace{2'000};
constexpr DurationMs kSeriesTime{30'000};
constexpr std::uint32_t kSeries = 200;
constexpr int kRequestsPerSeries = 400;
constexpr AdapterRevision kFirst(1);

// The query of a request that a node with this view has just received.
EndpointQuery QueryOf(const FleetView& view, const AdapterRef& adapter,
                      TimeMs now) {
  EndpointQuery query;
  query.service = kEngines;
  query.adapter = adapter;
  query.version = view.NewestRevision(adapter);
  query.least_version = view.LeastRevision(adapter, now);
  return query;
}

// How a node learns of versions.
enum class Learning : std::uint8_t {
  // Of each after its own delay, so that some come out of order.
  kOneByOne,
  // Of all that it has missed at once, in order.
  kAtOnce,
  // By a full read, which contains the newest only.
  kFullRead,
};

struct Engine {
  EndpointId id;
  // Its requests never let it replace a version.
  bool stays = false;
  AdapterSet held;
};

// What a node has been told of one adapter, for comparison with its choices.
struct Told {
  AdapterRevision newest = kFirst;
  AdapterRevision before = kFirst;
  std::optional<TimeMs> newest_learned_at;
  std::vector<AdapterRevision> missed;
};

struct Node {
  Learning learning = Learning::kOneByOne;
  FleetView view;
  std::map<AdapterRef, Told> told;
};

struct Late {
  AdapterRevision begun;
  AdapterRevision newer;
  DurationMs after;
};

struct Outcome {
  int begun = 0;
  int begun_on_older = 0;
  int late = 0;
  std::optional<Late> latest;
  // Choices while the version before the newest is accepted: all, those for an
  // engine that holds it, and those that passed over a less loaded one.
  int graced = 0;
  int served_by_before = 0;
  int passed_over = 0;
};

class VersionWorld {
 public:
  explicit VersionWorld(std::uint32_t seed) : m_random(seed) {
    AddEngines();
    AddNodes();
    const int adapters = Between(1, 3);
    for (int i = 0; i < adapters; ++i) {
      AddAdapter(Adapter("a" + std::to_string(i)));
    }
    AddRequests(adapters);
  }

  Outcome Run() {
    while (!m_events.empty()) {
      const auto event = m_events.extract(m_events.begin());
      event.mapped()(event.key());
    }
    return m_outcome;
  }

 private:
  using Event = std::function<void(TimeMs now)>;

  int Between(int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(m_random);
  }
  DurationMs BetweenMs(int least, int most) {
    return DurationMs(Between(least, most));
  }
  void At(TimeMs time, Event event) {
    m_events.emplace(time, std::move(event));
  }

  void AddEngines() {
    m_engines.resize(static_cast<std::size_t>(Between(2, 6)));
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
      m_engines[i].id = EndpointId("e" + std::to_string(i));
      m_engines[i].stays = Between(1, 10) <= 3;
    }
  }

  void AddNodes() {
    m_nodes.resize(static_cast<std::size_t>(Between(2, 5)));
    for (Node& node : m_nodes) {
      node.learning = static_cast<Learning>(Between(0, 2));
      ReadAll(node, TimeMs(0));
      if (node.learning == Learning::kOneByOne) continue;
      for (TimeMs at; at < TimeMs(0) + kSeriesTime;) {
        at = at + BetweenMs(100, 2'000);
        At(at, [this, &node](TimeMs now) { CatchUp(node, now); });
      }
    }
  }

  void AddAdapter(const AdapterRef& adapter) {
    m_published[adapter];
    for (Engine& engine : m_engines) {
      if (engine.stays || Between(1, 10) <= 6) engine.held[adapter] = kFirst;
      for (Node& node : m_nodes) Report(engine, node, TimeMs(0));
    }
    for (Node& node : m_nodes) node.told[adapter];
    AdapterRevision version = kFirst;
    TimeMs at(Between(0, 2'000));
    while (at < TimeMs(0) + kSeriesTime) {
      const int burst = Between(1, 8);
      const int most_apart = Between(300, 4'000);
      for (int i = 0; i < burst; ++i) {
        version = AdapterRevision(version.value() + 1);
        At(at, [this, adapter, version](TimeMs now) {
          Publish(adapter, version, now);
        });
        at = at + BetweenMs(100, most_apart);
      }
      at = at + BetweenMs(0, 8'000);
    }
  }

  void AddRequests(int adapters) {
    for (int i = 0; i < kRequestsPerSeries; ++i) {
      const AdapterRef adapter =
          Adapter("a" + std::to_string(Between(0, adapters - 1)));
      const std::size_t node = static_cast<std::size_t>(
          Between(0, static_cast<int>(m_nodes.size()) - 1));
      At(TimeMs(0) + BetweenMs(0, static_cast<int>(kSeriesTime.ms())),
         [this, adapter, node](TimeMs now) {
           Choose(m_nodes[node], adapter, now);
         });
    }
  }

  void Publish(const AdapterRef& adapter, AdapterRevision version, TimeMs now) {
    m_published[adapter].emplace_back(version, now);
    for (Node& node : m_nodes) {
      if (node.learning != Learning::kOneByOne) {
        node.told[adapter].missed.push_back(version);
        continue;
      }
      At(now + BetweenMs(0, 1'000), [this, &node, adapter, version](TimeMs at) {
        Learn(node, adapter, version, at);
      });
    }
    for (Engine& engine : m_engines) {
      if (engine.stays) continue;
      At(now + BetweenMs(200, 3'500),
         [this, &engine, adapter](TimeMs at) { Load(engine, adapter, at); });
    }
  }

  void Learn(Node& node, const AdapterRef& adapter, AdapterRevision version,
             TimeMs now) {
    node.view.Apply(AdapterRevisionPublished{adapter, version}, now);
    NoteTold(node, adapter, version, now);
  }

  static void NoteTold(Node& node, const AdapterRef& adapter,
                       AdapterRevision version, TimeMs now) {
    Told& told = node.told[adapter];
    if (version <= told.newest) return;
    told.before = told.newest;
    told.newest = version;
    told.newest_learned_at = now;
  }

  void CatchUp(Node& node, TimeMs now) {
    if (node.learning == Learning::kFullRead) ReadAll(node, now);
    for (auto& [adapter, told] : node.told) {
      for (const AdapterRevision version : std::exchange(told.missed, {})) {
        if (node.learning == Learning::kAtOnce) {
          Learn(node, adapter, version, now);
        }
      }
    }
  }

  void ReadAll(Node& node, TimeMs now) {
    std::vector<StoreChange> changes;
    for (const Engine& engine : m_engines) {
      EndpointEntry entry = EngineEntry(engine.id.str());
      entry.adapters = engine.held;
      changes.emplace_back(EndpointWritten{std::move(entry)});
    }
    for (const auto& [adapter, versions] : m_published) {
      if (versions.empty()) continue;
      const AdapterRevision newest = versions.back().first;
      changes.emplace_back(AdapterRevisionPublished{adapter, newest});
      NoteTold(node, adapter, newest, now);
    }
    node.view.Reset(changes, now, now);
  }

  // The engine now holds the newest version, which the nodes learn later.
  void Load(Engine& engine, const AdapterRef& adapter, TimeMs now) {
    engine.held[adapter] = m_published[adapter].back().first;
    for (Node& node : m_nodes) {
      At(now + BetweenMs(0, 300),
         [&engine, &node](TimeMs at) { Report(engine, node, at); });
    }
  }

  static void Report(const Engine& engine, Node& node, TimeMs now) {
    node.view.endpoints().SetAdapters(engine.id, engine.held, now);
  }

  void Choose(Node& node, const AdapterRef& adapter, TimeMs now) {
    for (auto& [id, endpoint] : node.view.endpoints().all()) {
      // One in ten is full.
      const int slots = static_cast<int>(endpoint.entry.slots);
      endpoint.in_flight = static_cast<std::uint32_t>(
          Between(1, 10) == 1 ? slots : Between(0, slots - 1));
    }
    const EndpointChoice choice = ChooseEndpoint(
        node.view.endpoints(), QueryOf(node.view, adapter, now), now);
    CheckGrace(node, adapter, choice, now);
    if (!choice.send_to) return;
    At(now + BetweenMs(0, 300), [this, adapter, engine = *choice.send_to](
                                    TimeMs at) { Begin(engine, adapter, at); });
  }

  void CheckGrace(const Node& node, const AdapterRef& adapter,
                  const EndpointChoice& choice, TimeMs now) {
    const Told& told = node.told.at(adapter);
    if (!told.newest_learned_at || now - *told.newest_learned_at >= kGrace) {
      return;
    }
    const EndpointTable& table = node.view.endpoints();
    const Endpoint* chosen =
        choice.send_to ? table.Find(*choice.send_to) : nullptr;
    bool before_could_serve = false;
    bool passed_over = false;
    for (const auto& [id, endpoint] : table.all()) {
      const auto held = endpoint.adapters.find(adapter);
      if (held == endpoint.adapters.end() || held->second != told.before ||
          endpoint.load() >= endpoint.entry.slots) {
        continue;
      }
      before_could_serve = true;
      passed_over |= !chosen || chosen->load() > endpoint.load();
    }
    if (!before_could_serve) return;
    ++m_outcome.graced;
    if (passed_over) ++m_outcome.passed_over;
    if (chosen && chosen->adapters.at(adapter) == told.before) {
      ++m_outcome.served_by_before;
    }
  }

  void Begin(const EndpointId& id, const AdapterRef& adapter, TimeMs now) {
    const auto engine =
        std::find_if(m_engines.begin(), m_engines.end(),
                     [&id](const Engine& item) { return item.id == id; });
    const AdapterRevision begun = engine->held.at(adapter);
    ++m_outcome.begun;
    // The version's successor was published first of all newer ones.
    for (const auto& [version, published_at] : m_published[adapter]) {
      if (version <= begun) continue;
      ++m_outcome.begun_on_older;
      NoteOlder({begun, version, now - published_at});
      return;
    }
  }

  void NoteOlder(const Late& older) {
    if (older.after < kVersionTime) return;
    ++m_outcome.late;
    if (!m_outcome.latest || m_outcome.latest->after < older.after) {
      m_outcome.latest = older;
    }
  }

  std::mt19937 m_random;
  std::multimap<TimeMs, Event> m_events;
  std::vector<Engine> m_engines;
  std::vector<Node> m_nodes;
  std::map<AdapterRef, std::vector<std::pair<AdapterRevision, TimeMs>>>
      m_published;
  Outcome m_outcome;
};

}  // namespace

// Each further version opened all older ones again, long after the time of the
// first newer one was over.
TEST_CASE("Versions in series: no request begins on one that is out of time",
          "[fleet][choice][versions]") {
  int begun = 0;
  int begun_on_older = 0;
  int late = 0;
  int broken_series = 0;
  std::uint32_t worst_seed = 0;
  Late worst;
  for (std::uint32_t seed = 1; seed <= kSeries; ++seed) {
    const Outcome outcome = VersionWorld(seed).Run();
    begun += outcome.begun;
    begun_on_older += outcome.begun_on_older;
    late += outcome.late;
    if (!outcome.latest) continue;
    ++broken_series;
    if (outcome.latest->after <= worst.after) continue;
    worst = *outcome.latest;
    worst_seed = seed;
  }
  INFO(begun << " requests begun, " << begun_on_older
             << " on an older version, " << late << " of them too late, in "
             << broken_series << " series; the latest in series " << worst_seed
             << ", on version " << worst.begun.value() << ", " << worst.after
             << " after version " << worst.newer.value());
  CHECK(begun > 0);
  CHECK(begun_on_older > 0);
  CHECK(late == 0);
}

// Without the time for the version before, a new version takes an adapter from
// its callers until some engine has loaded it.
TEST_CASE("Versions in series: the one before serves while a newer one is new",
          "[fleet][choice][versions]") {
  int graced = 0;
  int served_by_before = 0;
  int passed_over = 0;
  for (std::uint32_t seed = 1; seed <= kSeries; ++seed) {
    const Outcome outcome = VersionWorld(seed).Run();
    graced += outcome.graced;
    served_by_before += outcome.served_by_before;
    passed_over += outcome.passed_over;
  }
  INFO(graced << " choices, " << served_by_before << " served by it");
  CHECK(graced > 0);
  CHECK(served_by_before > 0);
  CHECK(passed_over == 0);
}

// Version 3 opened version 1 again, which version 2 had ended.
TEST_CASE("Versions in series: a third one does not open the first again",
          "[fleet][choice][versions]") {
  const AdapterRef adapter = Adapter("a1");
  FleetView view;
  EndpointEntry first = EngineEntry("e1");
  first.adapters[adapter] = AdapterRevision(1);
  view.Apply(EndpointWritten{first}, TimeMs(0));
  view.Apply(AdapterRevisionPublished{adapter, AdapterRevision(2)}, TimeMs(0));
  const auto choose = [&](TimeMs now) {
    return ChooseEndpoint(view.endpoints(), QueryOf(view, adapter, now), now)
        .send_to;
  };
  CHECK(choose(TimeMs(500)) == first.id);
  CHECK_FALSE(choose(TimeMs(5'500)));
  view.Apply(AdapterRevisionPublished{adapter, AdapterRevision(3)},
             TimeMs(6'000));
  CHECK_FALSE(choose(TimeMs(6'500)));
  EndpointEntry second = EngineEntry("e2");
  second.adapters[adapter] = AdapterRevision(2);
  view.Apply(EndpointWritten{second}, TimeMs(6'500));
  view.endpoints().Find(second.id)->in_flight = 1;
  CHECK(choose(TimeMs(6'600)) == second.id);
}

}  // namespace yuccamoor::fleet
