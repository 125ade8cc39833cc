/// \file
/// \brief Tests of what a node does when the store comes back with an older
/// copy.

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "transport/fleet/context_parts.h"
#include "transport/fleet/fake_fleet_store.h"
#include "yuccamoor/state/fleet/boot_clock.h"
#include "yuccamoor/transport/fleet/lease_keeper.h"
#include "yuccamoor/transport/fleet/store_session.h"

namespace yuccamoor::fleet {
namespace {

const StoreEra kFirst(1);
const StoreEra kSecond(2);

NodeSettings Settings() {
  NodeSettings settings;
  settings.node = NodeId("n1");
  settings.domain = FailureDomainId("a");
  settings.peer_address = {"10.0.0.1", 7'380};
  settings.max_propagation_delay = DurationMs(2'000);
  return settings;
}

ConfigWritten Config(std::uint64_t version) {
  ConfigWritten written;
  written.config.version = Revision(version);
  return written;
}

StoreReadResult Reading(StoreEra era, std::uint64_t revision,
                        std::vector<StoreChange> changes = {}) {
  StoreReadResult reading;
  reading.status = StoreStatus::kOk;
  reading.era = era;
  reading.read_revision = Revision(revision);
  reading.changes = std::move(changes);
  return reading;
}

/// A session with its store.
class RestoreWorld {
 public:
  RestoreWorld()
      : m_parts(m_clock, Settings()),
        m_session(m_parts.context, m_store, [](const TellChanges&) {}),
        m_lease(m_parts.context, m_store, [] {}) {
    m_store.ListenForEras([this](StoreEra era) {
      m_session.OnStoreRestored(era);
      m_lease.OnStoreRestored();
    });
  }

  /// Runs the event loop for a while.
  void Run(DurationMs time) {
    m_parts.io.restart();
    m_parts.io.run_for(std::chrono::milliseconds(time.ms()));
  }
  /// Reads version 1 of the configuration at revision 100.
  void ReadFirst() {
    m_session.Start([this] {
      if (!m_lease.has_begun()) m_lease.Begin();
    });
    m_store.reads.at(0)(Reading(kFirst, 100, {Config(1)}));
  }
  /// Answers the next renewal or grant, so that the node has a lease.
  void TakeLease(StoreLease lease) {
    m_store.grants.back()({StoreStatus::kOk, lease});
    m_store.writes.back()({StoreStatus::kOk, Revision(101), kFirst});
  }
  /// Applies the record that this node has in the store.
  StoreChange OwnRecord(StoreLease lease) const {
    RecordWritten record;
    record.key = FleetView::NodeKey(m_parts.settings.node);
    record.value = EncodeNodeRecord(
        {m_parts.settings.peer_address, lease, m_parts.settings.domain});
    return record;
  }

  std::uint64_t version() const {
    return m_parts.view.routes()->config().version.value();
  }
  FakeFleetStore& store() { return m_store; }
  StoreSession& session() { return m_session; }
  LeaseKeeper& lease() { return m_lease; }

 private:
  BootClock m_clock;
  ContextParts m_parts;
  FakeFleetStore m_store;
  StoreSession m_session;
  LeaseKeeper m_lease;
};

}  // namespace

// A node that came back when revisions had passed its own got no sign that it
// had missed changes, and served an old configuration for good.
TEST_CASE("After a restore everything is read, though the watch goes on",
          "[fleet][store][restore]") {
  RestoreWorld world;
  world.ReadFirst();
  world.Run(DurationMs(300));
  REQUIRE(world.store().watches.size() == 1);
  // Version 2 was written at revision 95 of the second era.
  world.store().era_listener(kSecond);
  world.store().watches[0](Reading(kSecond, 105));
  world.Run(DurationMs(100));
  REQUIRE(world.store().reads.size() == 2);
  world.store().reads[1](Reading(kSecond, 105, {Config(2)}));
  CHECK(world.version() == 2);
}

TEST_CASE("A new era that a lease's answer shows has everything read",
          "[fleet][store][restore]") {
  RestoreWorld world;
  world.ReadFirst();
  // Between two reads.
  world.store().era_listener(kSecond);
  world.Run(DurationMs(50));
  CHECK(world.store().reads.size() == 2);
}

TEST_CASE("Changes of another era are not applied", "[fleet][store][restore]") {
  RestoreWorld world;
  world.ReadFirst();
  EndpointWritten written;
  written.entry.id = EndpointId("e1");
  TellChanges told;
  told.after = Revision(90);
  told.read = Revision(104);
  told.changes = {written};
  SECTION("an earlier one") {
    world.store().era_listener(kSecond);
    world.Run(DurationMs(50));
    world.store().reads.at(1)(Reading(kSecond, 95, {Config(1)}));
    told.era = kFirst;
    world.session().OnTellChanges(told);
    world.Run(DurationMs(300));
    REQUIRE(world.store().watched_after.size() == 1);
    CHECK(world.store().watched_after[0] == Revision(95));
  }
  SECTION("a later one") {
    told.era = kSecond;
    world.session().OnTellChanges(told);
    world.Run(DurationMs(50));
    CHECK(world.store().reads.size() == 2);
    CHECK(world.store().watched_after.empty());
  }
}

// A lease's number is given out again after a restore. A node that renewed it
// would keep another node's lease alive and lose its own records.
TEST_CASE("A lease counts after a restore only if the node's record names it",
          "[fleet][store][restore]") {
  const StoreLease lease(7);
  RestoreWorld world;
  world.ReadFirst();
  world.TakeLease(lease);
  REQUIRE(world.lease().lease() == lease);
  world.store().era_listener(kSecond);
  CHECK_FALSE(world.lease().lease());
  world.Run(DurationMs(50));
  SECTION("the record is gone") {
    world.store().reads.at(1)(Reading(kSecond, 95));
    CHECK(world.store().renewed.empty());
    REQUIRE(world.store().grants.size() == 2);
    world.TakeLease(StoreLease(8));
    CHECK(world.lease().lease() == StoreLease(8));
  }
  SECTION("the copy has the record") {
    const RecordWritten holder{FleetView::HolderKey(EndpointId("e1")), "n1",
                               Revision(90), kSecond};
    world.store().reads.at(1)(
        Reading(kSecond, 95, {world.OwnRecord(lease), holder}));
    REQUIRE(world.store().renewed.size() == 1);
    CHECK(world.store().renewed[0] == lease);
    world.store().renewals[0](StoreStatus::kOk);
    CHECK(world.lease().lease() == lease);
    // Another node may have held its engines meanwhile.
    CHECK(world.lease().taken_over().empty());
  }
}

TEST_CASE("A claim that was written in an earlier era does not count",
          "[fleet][store][restore]") {
  RestoreWorld world;
  world.ReadFirst();
  world.TakeLease(StoreLease(7));
  bool held = true;
  world.lease().Claim(EndpointId("e1"), [&held](const auto& record) {
    held = record.has_value();
  });
  world.store().era_listener(kSecond);
  world.store().writes.back()({StoreStatus::kOk, Revision(102), kFirst});
  CHECK_FALSE(held);
}

}  // namespace yuccamoor::fleet
