/// \file
/// \brief Tests of when a node begins to give orders to the engines that it
/// holds.

#include "yuccamoor/transport/fleet/engine_holder.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/fleet/fleet_fakes.h"
#include "transport/fleet/context_parts.h"
#include "transport/fleet/fake_fleet_store.h"

namespace yuccamoor::fleet {
namespace {

const StoreLease kLease(7);
// A holder's validity, the separation of holders and a margin.
constexpr DurationMs kWait{4'650};

NodeSettings Settings() {
  NodeSettings settings;
  settings.node = NodeId("n1");
  settings.peer_address = {"10.0.0.1", 7'380};
  return settings;
}

/// Engines without their model: each holder orders it as soon as it may.
class FakeControl final : public EngineControl {
 public:
  void Order(const EndpointEntry& engine, const EngineOrder& /*order*/,
             std::function<void(OrderOutcome)> /*done*/) override {
    m_ordered.push_back(engine.id);
  }
  void FetchReport(
      const EndpointEntry& /*engine*/,
      std::function<void(std::optional<EngineReport>)> done) override {
    done(EngineReport());
  }

  void ForgetOrders() { m_ordered.clear(); }
  bool HasOrdered(const std::string& engine) const {
    return std::find(m_ordered.begin(), m_ordered.end(), EndpointId(engine)) !=
           m_ordered.end();
  }

 private:
  std::vector<EndpointId> m_ordered;
};

enum class FirstView : std::uint8_t { kAtStart, kLater };

/// A node that is alone in its fleet.
class HolderWorld {
 public:
  explicit HolderWorld(FirstView first_view = FirstView::kAtStart)
      : m_parts(m_clock, Settings()),
        m_lease(m_parts.context, m_store, [this] { OnViewChanged(); }),
        m_holder(
            m_parts.context, m_lease, m_control,
            [](const NodeId&, const TellLoaded&) {},
            [](const TellRetired&) {}) {
    if (first_view == FirstView::kLater) return;
    Apply(ConfigWritten{EngineConfig(1)});
    Apply(EndpointWritten{EngineEntry("e1")});
    Apply(EndpointWritten{EngineEntry("e2")});
    Apply(OwnRecord());
  }

  /// The first full read: the store lists neither engines nor holders.
  void ReadWithoutEngines() {
    const TimeMs now = m_clock.Now();
    m_parts.view.Reset({ConfigWritten{EngineConfig(1)}, OwnRecord()}, now, now);
    OnViewChanged();
  }

  void Apply(const StoreChange& change) {
    m_parts.view.Apply(change, m_clock.Now());
    OnViewChanged();
  }
  void SetHolder(const std::string& engine, const std::string& node,
                 std::uint64_t revision) {
    Apply(RecordWritten{FleetView::HolderKey(EndpointId(engine)), node,
                        Revision(revision)});
  }
  void RemoveHolder(const std::string& engine) {
    Apply(RecordRemoved{FleetView::HolderKey(EndpointId(engine))});
  }
  /// A holder's record of the node as a store of the second era shows it. It
  /// was copied with that store if its revision is one of the first era.
  void SetHolderInSecondEra(const std::string& engine, std::uint64_t revision) {
    Apply(RecordWritten{FleetView::HolderKey(EndpointId(engine)), "n1",
                        Revision(revision), StoreEra(2)});
  }
  /// The node's earlier process said that it had begun to order with these.
  void SetOrdering(const std::set<Epoch>& fences) {
    Apply(RecordWritten{FleetView::OrderingKey(m_parts.settings.node),
                        EncodeFences(fences), Revision(3)});
  }
  /// The last statement with which fencing numbers the node orders.
  std::set<Epoch> Stated() const {
    if (m_store.written.empty()) return {};
    const std::string& record = m_store.written.back();
    REQUIRE(record.starts_with("ordering/n1="));
    return DecodeFences(record.substr(record.find('=') + 1));
  }
  /// Takes over the lease of the node's earlier process.
  void Adopt() {
    m_lease.Begin();
    m_store.renewals.at(0)(StoreStatus::kOk);
  }
  /// Lets so much time pass.
  void Run(DurationMs time) {
    constexpr DurationMs kTick{50};
    const TimeMs end = m_clock.Now() + time;
    while (m_clock.Now() < end) {
      m_clock.Advance(kTick);
      m_holder.OnTick(m_clock.Now());
      AnswerWrites();
    }
  }
  /// Whether the node has written the holder's record of the engine.
  bool HasClaimed(const std::string& engine) const {
    const std::string record = "holder/" + engine + "=n1";
    return std::find(m_store.created.begin(), m_store.created.end(), record) !=
           m_store.created.end();
  }

  void ForgetOrders() { m_control.ForgetOrders(); }
  bool HasOrdered(const std::string& engine) const {
    return m_control.HasOrdered(engine);
  }

 private:
  void OnViewChanged() { m_holder.OnViewChanged(); }

  RecordWritten OwnRecord() const {
    return {FleetView::NodeKey(m_parts.settings.node),
            EncodeNodeRecord({m_parts.settings.peer_address, kLease,
                              m_parts.settings.domain}),
            Revision(2)};
  }

  void AnswerWrites() {
    while (m_answered < m_store.writes.size()) {
      const auto done = m_store.writes[m_answered++];
      done({StoreStatus::kOk, Revision(100 + m_answered), StoreEra()});
    }
  }

  ManualClock m_clock;
  ContextParts m_parts;
  FakeFleetStore m_store;
  FakeControl m_control;
  LeaseKeeper m_lease;
  EngineHolder m_holder;
  std::size_t m_answered = 0;
};

}  // namespace

TEST_CASE("A restarted node goes on with its earlier process's engines",
          "[fleet][holder]") {
  HolderWorld world;
  world.SetHolder("e1", "n1", 9);
  world.SetOrdering({Epoch(9)});
  world.Adopt();
  world.Run(DurationMs(100));
  CHECK(world.HasOrdered("e1"));
}

// A process that started after the store had been restored from a copy ordered
// engines at once that another node had taken over since that copy was made.
TEST_CASE("A restarted node waits if its records are those of a copy",
          "[fleet][holder][restore]") {
  HolderWorld world;
  world.SetOrdering({FencingNumber(StoreEra(1), Revision(9))});
  world.SetHolderInSecondEra("e1", 9);
  world.Adopt();
  world.Run(kWait - DurationMs(50));
  CHECK_FALSE(world.HasOrdered("e1"));
  world.Run(DurationMs(100));
  CHECK(world.HasOrdered("e1"));
}

// A node that was killed while it waited before its first order took the record
// that it had just written for that of a holder, and did not wait any more.
TEST_CASE("A node that is killed while it waits to order waits again",
          "[fleet][holder]") {
  HolderWorld world;
  world.SetHolder("e1", "n1", 9);
  world.SetHolder("e2", "n1", 20);
  world.SetOrdering({Epoch(9)});
  world.Adopt();
  world.Run(kWait - DurationMs(50));
  CHECK(world.HasOrdered("e1"));
  CHECK_FALSE(world.HasOrdered("e2"));
  world.Run(DurationMs(100));
  CHECK(world.HasOrdered("e2"));
}

TEST_CASE("A holder says in the store with what it has begun to order",
          "[fleet][holder]") {
  HolderWorld world;
  world.SetHolder("e1", "n1", 9);
  world.SetHolder("e2", "n2", 10);
  world.Adopt();
  world.Run(kWait - DurationMs(50));
  CHECK(world.Stated().empty());
  world.Run(DurationMs(100));
  CHECK(world.Stated() == std::set<Epoch>{Epoch(9)});
  SECTION("again when it holds another one") {
    world.RemoveHolder("e2");
    world.SetHolder("e2", "n1", 20);
    world.Run(kWait + DurationMs(50));
    CHECK(world.Stated() == std::set<Epoch>{Epoch(9), Epoch(20)});
  }
  SECTION("again after the store was restored") {
    world.SetHolderInSecondEra("e1", 9);
    world.Run(DurationMs(1'000));
    CHECK(world.Stated() ==
          std::set<Epoch>{FencingNumber(StoreEra(2), Revision(9))});
  }
}

// A node that was once restarted within its lease ordered engines at once that
// another node had held a moment before.
TEST_CASE("A restarted node waits before it orders engines of other holders",
          "[fleet][holder]") {
  HolderWorld world;
  world.SetHolder("e1", "n1", 9);
  world.SetHolder("e2", "n2", 10);
  SECTION("some time after the restart") {
    world.Adopt();
    world.Run(DurationMs(20'000));
    world.RemoveHolder("e2");
    world.SetHolder("e2", "n1", 20);
  }
  SECTION("when a claim of its earlier process was written late") {
    world.Adopt();
    world.RemoveHolder("e2");
    world.SetHolder("e2", "n1", 20);
  }
  world.Run(kWait - DurationMs(50));
  CHECK_FALSE(world.HasOrdered("e2"));
  world.Run(DurationMs(100));
  CHECK(world.HasOrdered("e2"));
}

// A node that waited before its orders counted as the last holder already, and
// skipped the rest of the wait when it took the engine up again.
TEST_CASE("An engine taken up again while its holder waits is not ordered yet",
          "[fleet][holder]") {
  HolderWorld world;
  world.Adopt();
  world.SetHolder("e1", "n2", 9);
  world.RemoveHolder("e1");
  world.SetHolder("e1", "n1", 20);
  world.Run(DurationMs(1'000));
  SECTION("the engine's entry was missing for a moment") {
    world.Apply(EndpointRemoved{EndpointId("e1")});
    world.Apply(EndpointWritten{EngineEntry("e1")});
    world.Run(kWait - DurationMs(1'050));
    CHECK_FALSE(world.HasOrdered("e1"));
    // The wait has not begun anew.
    world.Run(DurationMs(100));
    CHECK(world.HasOrdered("e1"));
  }
  SECTION("the holder's record was missing for a moment") {
    world.RemoveHolder("e1");
    world.SetHolder("e1", "n1", 21);
    world.Run(kWait - DurationMs(50));
    CHECK_FALSE(world.HasOrdered("e1"));
    world.Run(DurationMs(100));
    CHECK(world.HasOrdered("e1"));
  }
}

TEST_CASE("A holder that gave orders a moment ago goes on with them",
          "[fleet][holder]") {
  HolderWorld world;
  world.SetHolder("e1", "n1", 9);
  world.SetOrdering({Epoch(9)});
  world.Adopt();
  world.Run(DurationMs(500));
  world.ForgetOrders();
  world.RemoveHolder("e1");
  world.SetHolder("e1", "n1", 20);
  world.Run(DurationMs(100));
  CHECK(world.HasOrdered("e1"));
}

// A node that was added while the store was away ordered all engines at the
// store's return, beside the holders whose records had run out meanwhile.
TEST_CASE("A node added during an outage waits before it orders engines",
          "[fleet][holder]") {
  HolderWorld world(FirstView::kLater);
  world.Run(DurationMs(4'200));
  world.ReadWithoutEngines();
  world.Adopt();
  world.Apply(EndpointWritten{EngineEntry("e1")});
  world.Run(kWait);
  CHECK_FALSE(world.HasOrdered("e1"));
  world.Run(kWait);
  CHECK(world.HasOrdered("e1"));
}

// A node whose start lay some seconds back claimed engines as soon as it first
// reached the store, when no other node could know of it.
TEST_CASE("A node claims no engine before others know of it",
          "[fleet][holder]") {
  HolderWorld world(FirstView::kLater);
  world.Run(DurationMs(10'000));
  world.ReadWithoutEngines();
  world.Adopt();
  world.Apply(EndpointWritten{EngineEntry("e1")});
  world.Run(DurationMs(2'000));
  CHECK_FALSE(world.HasClaimed("e1"));
  world.Run(DurationMs(2'000));
  CHECK(world.HasClaimed("e1"));
}

}  // namespace yuccamoor::fleet
