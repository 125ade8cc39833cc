/// \file
/// \brief Property test: whatever happens to the store and to nodes, an engine
/// gets no orders of two holders close to each other.

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/fleet/fleet_fakes.h"
#include "transport/fleet/context_parts.h"
#include "transport/fleet/simulated_store_door.h"
#include "transport/fleet/simulated_world.h"
#include "yuccamoor/transport/fleet/engine_holder.h"

namespace yuccamoor::fleet {
namespace {

constexpr DurationMs kTick{20};
constexpr DurationMs kTellInterval{250};
constexpr DurationMs kReadInterval{60};
constexpr DurationMs kFreshTime{1'500};
// The minimum time between orders of two holders.
constexpr DurationMs kSeparation{3'000};
constexpr std::size_t kEngineCount = 3;
constexpr int kNodeCount = 3;
constexpr int kMaxNodes = 6;
constexpr TimeMs kTroubleFrom{12'000};
constexpr TimeMs kTroubleTo{45'000};
constexpr TimeMs kEnd{65'000};
constexpr int kSeeds = 40;

struct ArrivedOrder {
  NodeId node;
  Epoch fence;
  TimeMs at;
};

/// What all nodes share.
struct World : SimulatedWorld {
  using SimulatedWorld::SimulatedWorld;
  std::map<EndpointId, std::vector<ArrivedOrder>> orders;
};

/// Engines that refuse each order, so that their holders go on ordering.
class RefusingControl final : public EngineControl {
 public:
  RefusingControl(World& world, NodeId node)
      : m_world(world), m_node(std::move(node)) {}

  void Order(const EndpointEntry& engine, const EngineOrder& order,
             std::function<void(OrderOutcome)> done) override {
    const std::weak_ptr<bool> alive = m_alive;
    World& world = m_world;
    world.schedule.After(
        DurationMs(world.Draw(1, 10)),
        [&world, alive, node = m_node, id = engine.id, fence = order.fence,
         done = std::move(done)] {
          world.orders[id].push_back({node, fence, world.clock.Now()});
          if (!alive.expired()) done(OrderOutcome::kConflict);
        });
  }
  void FetchReport(
      const EndpointEntry& /*engine*/,
      std::function<void(std::optional<EngineReport>)> done) override {
    const std::weak_ptr<bool> alive = m_alive;
    m_world.schedule.After(DurationMs(30), [alive, done = std::move(done)] {
      if (!alive.expired()) done(EngineReport());
    });
  }

 private:
  World& m_world;
  NodeId m_node;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

NodeSettings SettingsOf(int number) {
  NodeSettings settings;
  settings.node = NodeId("n" + std::to_string(number));
  settings.peer_address = {"10.0.0." + std::to_string(number), 7'380};
  settings.holder_separation = kSeparation;
  return settings;
}

/// One process of a node.
class Process {
 public:
  Process(World& world, int number)
      : m_world(world),
        m_parts(world.clock, SettingsOf(number)),
        m_store(world, m_parts.settings.node),
        m_control(world, m_parts.settings.node),
        m_lease(m_parts.context, m_store, [this] { m_holder.OnViewChanged(); }),
        m_holder(
            m_parts.context, m_lease, m_control,
            [](const NodeId&, const TellLoaded&) {},
            [](const TellRetired&) {}) {
    m_parts.view.Apply(ConfigWritten{EngineConfig(1)}, world.clock.Now());
    m_store.ListenForEras([this](StoreEra /*era*/) {
      m_parts.view.OnStoreRestored(m_world.clock.Now());
      m_has_view = false;
      m_lease.OnStoreRestored();
    });
  }

  void OnTick(TimeMs now) {
    m_parts.view.endpoints().Expire(now);
    if (!m_reading && now >= m_next_read) Read();
    m_lease.OnTick(now);
    m_holder.OnTick(now);
  }
  NodeStatus Status(TimeMs now) const {
    NodeStatus status;
    status.node = m_parts.settings.node;
    status.held = m_holder.Status();
    status.store.fresh = m_has_view && now - m_last_answer < kFreshTime;
    status.store.nodes =
        static_cast<std::uint32_t>(m_parts.view.nodes().size());
    for (const auto& [engine, holder] : m_parts.view.holders()) {
      status.store.holders[engine] = holder.fence;
    }
    return status;
  }
  void OnPeerStatus(const NodeStatus& status, TimeMs now) {
    m_holder.OnPeerStatus(status, now);
  }
  bool Knows(const NodeId& node) const {
    return m_parts.view.nodes().contains(node);
  }
  const NodeId& node() const { return m_parts.settings.node; }

 private:
  // As calls wait for their time-outs, nodes notice the store's return at
  // different times.
  void Read() {
    m_reading = true;
    m_next_read = m_world.clock.Now() + kReadInterval;
    const bool full = !m_has_view;
    const auto done = [this, full](const StoreReadResult& result) {
      m_reading = false;
      if (result.status == StoreStatus::kOk) Take(result, full);
    };
    if (full) {
      m_store.ReadAll({}, done);
    } else {
      m_store.Watch(m_as_of, {}, done);
    }
  }
  void Take(const StoreReadResult& result, bool full) {
    const TimeMs now = m_world.clock.Now();
    // A restore was noticed after a watch was begun.
    if (!full && !m_has_view) return;
    m_last_answer = now;
    m_as_of = result.read_revision;
    if (full) {
      m_parts.view.Reset(result.changes, now, now);
      m_has_view = true;
    } else {
      for (const StoreChange& change : result.changes) {
        m_parts.view.Apply(change, now);
      }
    }
    m_parts.view.SetCurrentAt(now);
    if (!m_lease.has_begun()) m_lease.Begin();
    m_holder.OnViewChanged();
  }

  World& m_world;
  ContextParts m_parts;
  SimulatedStoreDoor m_store;
  RefusingControl m_control;
  LeaseKeeper m_lease;
  EngineHolder m_holder;
  bool m_has_view = false;
  bool m_reading = false;
  TimeMs m_next_read;
  TimeMs m_last_answer;
  Revision m_as_of;
};

EndpointEntry EntryOf(std::size_t engine) {
  return EngineEntry("e" + std::to_string(engine));
}

/// A fleet with a day of troubles drawn from a seed.
class HolderFleet {
 public:
  explicit HolderFleet(std::uint64_t seed) : m_world(seed) {
    for (std::size_t i = 0; i < kEngineCount; ++i) {
      m_world.store.Put(EntryOf(i));
    }
    for (int i = 0; i < kNodeCount; ++i) AddNode();
    // Only this one is cut off from the store alone.
    m_victim = NodeId("n" + std::to_string(m_world.Draw(1, kNodeCount)));
  }

  void Run() {
    TimeMs next_trouble = kTroubleFrom;
    TimeMs next_told;
    while (m_world.clock.Now() < kEnd) {
      m_world.clock.Advance(DurationMs(1));
      const TimeMs now = m_world.clock.Now();
      m_world.schedule.RunDue();
      if (now.ms() % kTick.ms() == 0) Tick(now);
      if (now >= next_told) {
        next_told = now + kTellInterval;
        TellStatus(now);
      }
      if (now >= next_trouble && now < kTroubleTo) {
        next_trouble = now + DurationMs(m_world.Draw(50, 7'000));
        MakeTrouble(now);
      }
    }
  }

  /// Orders that came too soon after another holder's, or with a lower fencing
  /// number.
  std::vector<std::string> Breaches() const {
    std::vector<std::string> breaches;
    for (const auto& [engine, orders] : m_world.orders) {
      for (std::size_t i = 1; i < orders.size(); ++i) {
        const ArrivedOrder& last = orders[i - 1];
        const ArrivedOrder& next = orders[i];
        const bool is_other = next.node != last.node;
        const bool too_soon = is_other && next.at - last.at < kSeparation;
        if (!too_soon && next.fence >= last.fence) continue;
        breaches.push_back(engine.str() + ": " + next.node.str() + " " +
                           std::to_string((next.at - last.at).ms()) +
                           " ms after " + last.node.str() + " at " +
                           std::to_string(next.at.ms()));
      }
    }
    return breaches;
  }
  /// Whether each engine was ordered after the last trouble.
  bool AllOrderedAtEnd() const {
    return m_world.orders.size() == kEngineCount &&
           std::all_of(m_world.orders.begin(), m_world.orders.end(),
                       [](const auto& item) {
                         return kEnd - item.second.back().at < kSeparation;
                       });
  }
  const std::vector<std::string>& troubles() const { return m_troubles; }

 private:
  void AddNode() {
    if (m_last_node == kMaxNodes) return;
    const int number = ++m_last_node;
    m_troubles.push_back(At(m_world.clock.Now()) + "n" +
                         std::to_string(number) + " added");
    m_processes[number] = std::make_unique<Process>(m_world, number);
  }
  void Tick(TimeMs now) {
    m_world.store.OnTick();
    for (auto& [number, process] : m_processes) {
      if (process) process->OnTick(now);
    }
  }
  void TellStatus(TimeMs now) {
    for (auto& [number, teller] : m_processes) {
      if (!teller) continue;
      const NodeStatus status = teller->Status(now);
      for (auto& [other, hearer] : m_processes) {
        const bool is_told =
            hearer && other != number && teller->Knows(hearer->node());
        if (is_told) hearer->OnPeerStatus(status, now);
      }
    }
  }

  void MakeTrouble(TimeMs now) {
    switch (m_world.Draw(0, 7)) {
      case 0:
        return Outage(now);
      case 1:
        return CutOff(now);
      case 2:
      case 3:
        return Restore(DurationMs(m_world.Draw(300, 9'000)));
      case 4:
      case 5:
        return CutOffAndRestore(now);
      case 6:
        return Kill(static_cast<int>(m_world.Draw(1, m_last_node)));
      default:
        return AddNode();
    }
  }
  void Outage(TimeMs now) {
    const DurationMs time(m_world.Draw(300, 9'000));
    const bool pause = m_world.Draw(0, 3) == 0;
    m_world.store.BeAway(now + time, pause);
    m_troubles.push_back(At(now) + "away for " + std::to_string(time.ms()) +
                         (pause ? ", leases pause" : ""));
    if (m_world.Draw(0, 1) == 0) {
      m_world.schedule.After(DurationMs(m_world.Draw(0, time.ms())),
                             [this] { AddNode(); });
    }
    constexpr DurationMs kEntryTime{3'600};
    if (pause || time < kEntryTime) return;
    for (std::size_t i = 0; i < kEngineCount; ++i) {
      m_world.schedule.After(
          kEntryTime, [this, i] { m_world.store.Remove(EntryOf(i).id); });
      m_world.schedule.After(time + DurationMs(m_world.Draw(1, 1'500)),
                             [this, i] { m_world.store.Put(EntryOf(i)); });
    }
  }
  void CutOff(TimeMs now) {
    const DurationMs time(m_world.Draw(500, 9'000));
    const bool revoked = m_world.Draw(0, 1) == 0;
    m_world.store.TurnAway(m_victim, now + time);
    if (revoked) m_world.store.RevokeLeases(m_victim);
    m_troubles.push_back(At(now) + m_victim.str() + " cut off for " +
                         std::to_string(time.ms()) +
                         (revoked ? ", leases revoked" : ""));
  }
  // The copy is from before the cut, so that it shows a holder that has
  // changed.
  void CutOffAndRestore(TimeMs now) {
    CutOff(now);
    const DurationMs until(m_world.Draw(500, 9'000));
    m_world.schedule.After(until, [this, until] {
      Restore(until + DurationMs(m_world.Draw(250, 2'000)));
    });
  }
  void Restore(DurationMs age) {
    const TimeMs now = m_world.clock.Now();
    const DurationMs away(m_world.Draw(1, 500));
    m_world.store.BeAway(now + away, true);
    m_world.schedule.After(away, [this, age] { m_world.store.Restore(age); });
    m_troubles.push_back(At(now) + "restored, " + std::to_string(age.ms()) +
                         " ms old");
    if (m_world.Draw(0, 1) == 0) Kill(VictimNumber());
  }
  void Kill(int number) {
    if (!m_processes[number]) return;
    m_processes[number].reset();
    m_troubles.push_back(At(m_world.clock.Now()) + "n" +
                         std::to_string(number) + " killed");
    m_world.schedule.After(
        DurationMs(m_world.Draw(100, 1'500)), [this, number] {
          m_processes[number] = std::make_unique<Process>(m_world, number);
        });
  }
  int VictimNumber() const { return std::stoi(m_victim.str().substr(1)); }
  static std::string At(TimeMs now) { return std::to_string(now.ms()) + ": "; }

  World m_world;
  std::map<int, std::unique_ptr<Process>> m_processes;
  int m_last_node = 0;
  NodeId m_victim;
  std::vector<std::string> m_troubles;
};

std::string Lines(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines) text += line + "\n";
  return text;
}

}  // namespace

// Nodes that were added during an outage, or that started just after a restore,
// ordered engines beside their holders.
TEST_CASE("No engine gets orders of two holders close to each other",
          "[fleet][holder][property]") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    HolderFleet fleet(seed);
    fleet.Run();
    const std::vector<std::string> breaches = fleet.Breaches();
    INFO("seed " << seed << "\n" << Lines(fleet.troubles()));
    INFO(Lines(breaches));
    CHECK(breaches.empty());
    CHECK(fleet.AllOrderedAtEnd());
  }
}

}  // namespace yuccamoor::fleet
