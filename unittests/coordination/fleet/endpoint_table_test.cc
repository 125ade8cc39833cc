/// \file
/// \brief Tests of the table of endpoints.

#include "yuccamoor/coordination/fleet/endpoint_table.h"

#include <catch2/catch.hpp>

#include "coordination/fleet/fleet_fakes.h"

namespace yuccamoor::fleet {

TEST_CASE("A leaving endpoint stays leaving until it starts anew",
          "[fleet][endpoint]") {
  EndpointTable table;
  table.Put(EngineEntry("e1"), TimeMs(0));
  EndpointEntry leaving = EngineEntry("e1");
  leaving.draining = true;
  table.Put(leaving, TimeMs(10));
  CHECK_FALSE(EndpointTable::Usable(*table.Find(EndpointId("e1")), TimeMs(10)));
  // A delayed write of the earlier state does not make it usable again.
  table.Put(EngineEntry("e1"), TimeMs(20));
  CHECK_FALSE(EndpointTable::Usable(*table.Find(EndpointId("e1")), TimeMs(20)));
  EndpointEntry restarted = EngineEntry("e1");
  restarted.start_unix_ms = 2;
  CHECK(table.Put(restarted, TimeMs(30)));
  CHECK(EndpointTable::Usable(*table.Find(EndpointId("e1")), TimeMs(30)));
}

TEST_CASE("A removed entry is gone at once while the store is well",
          "[fleet][endpoint]") {
  EndpointTable table;
  table.Put(EngineEntry("e1"), TimeMs(0));
  table.Remove(EndpointId("e1"), TimeMs(10));
  CHECK(table.Find(EndpointId("e1")) == nullptr);
}

TEST_CASE("After an outage of the store, entries have two seconds to return",
          "[fleet][endpoint]") {
  EndpointTable table;
  table.Put(EngineEntry("back"), TimeMs(0));
  table.Put(EngineEntry("gone"), TimeMs(0));
  table.OnStoreRecovered(TimeMs(5'000));
  table.RetainOnly({}, TimeMs(5'010));
  table.Expire(TimeMs(6'900));
  CHECK(table.Find(EndpointId("gone")) != nullptr);
  table.Put(EngineEntry("back"), TimeMs(6'950));
  table.Expire(TimeMs(7'300));
  CHECK(table.Find(EndpointId("back")) != nullptr);
  CHECK(table.Find(EndpointId("gone")) == nullptr);
}

TEST_CASE("An endpoint without connections is tried again, less and less often",
          "[fleet][endpoint]") {
  EndpointTable table;
  const EndpointId id("e1");
  table.Put(EngineEntry("e1"), TimeMs(0));
  table.OnConnectFailed(id, TimeMs(0));
  CHECK_FALSE(EndpointTable::Usable(*table.Find(id), TimeMs(149)));
  CHECK(EndpointTable::Usable(*table.Find(id), TimeMs(150)));
  table.OnConnectFailed(id, TimeMs(150));
  CHECK_FALSE(EndpointTable::Usable(*table.Find(id), TimeMs(449)));
  table.OnConnected(id);
  CHECK(EndpointTable::Usable(*table.Find(id), TimeMs(300)));
}

// An endpoint that had left was listed as ready again by an old copy of the
// store, and got requests.
TEST_CASE("An endpoint that was leaving stays so when its entry comes back",
          "[fleet][table][restore]") {
  EndpointTable table;
  EndpointEntry entry = EngineEntry("e1");
  table.Put(entry, TimeMs(0));
  entry.draining = true;
  table.Put(entry, TimeMs(100));
  table.Remove(entry.id, TimeMs(200));
  entry.draining = false;
  table.Put(entry, TimeMs(300));
  CHECK_FALSE(EndpointTable::Usable(*table.Find(entry.id), TimeMs(300)));
  // A new process under the same id.
  ++entry.start_unix_ms;
  table.Put(entry, TimeMs(400));
  CHECK(EndpointTable::Usable(*table.Find(entry.id), TimeMs(400)));
}

// An endpoint that had left, and was listed once as another process, got
// requests when an old copy of the store listed it as ready again.
TEST_CASE("An endpoint that was leaving stays so after another process's entry",
          "[fleet][table][restore]") {
  EndpointTable table;
  EndpointEntry entry = EngineEntry("e1");
  entry.draining = true;
  table.Put(entry, TimeMs(0));
  EndpointEntry other = EngineEntry("e1");
  ++other.start_unix_ms;
  table.Put(other, TimeMs(100));
  CHECK(EndpointTable::Usable(*table.Find(entry.id), TimeMs(100)));
  entry.draining = false;
  table.Put(entry, TimeMs(200));
  CHECK_FALSE(EndpointTable::Usable(*table.Find(entry.id), TimeMs(200)));
}

// An endpoint's limit and pause ended when its entry could not be read for a
// moment, and it got more requests than it takes.
TEST_CASE("An endpoint's limit and pause outlast a missing entry",
          "[fleet][table]") {
  EndpointTable table;
  const EndpointEntry entry = EngineEntry("e1");
  table.Put(entry, TimeMs(0));
  IntakeStatement stated;
  stated.limited = true;
  stated.requests_per_second = 4;
  stated.retry_after = DurationMs(2'000);
  table.Find(entry.id)->intake.OnStatement(stated, TimeMs(0), TimeMs(100));
  table.Remove(entry.id, TimeMs(200));
  SECTION("the same process") {
    table.Put(entry, TimeMs(300));
    const EndpointIntake& intake = table.Find(entry.id)->intake;
    REQUIRE(intake.limit());
    CHECK(intake.limit()->per_second == 4);
    CHECK(intake.opens_at() == TimeMs(2'100));
  }
  SECTION("another process") {
    EndpointEntry restarted = entry;
    ++restarted.start_unix_ms;
    table.Put(restarted, TimeMs(300));
    const EndpointIntake& intake = table.Find(entry.id)->intake;
    CHECK_FALSE(intake.limit());
    CHECK(intake.opens_at() == TimeMs());
  }
}

// A late answer of an endpoint's earlier process said that it was leaving, and
// the process that had followed it under the same id got no more requests.
TEST_CASE("An answer that says leaving concerns the process that gave it",
          "[fleet][table]") {
  EndpointTable table;
  const EndpointEntry entry = EngineEntry("e1");
  const EndpointProcess process{entry.id, entry.start_unix_ms};
  table.Put(entry, TimeMs(0));
  SECTION("though another one has followed") {
    EndpointEntry restarted = entry;
    ++restarted.start_unix_ms;
    table.Put(restarted, TimeMs(100));
    table.MarkLeaving(process, TimeMs(0));
    CHECK(EndpointTable::Usable(*table.Find(entry.id), TimeMs(200)));
    // An old copy of the store lists the earlier one.
    table.Put(entry, TimeMs(300));
  }
  SECTION("though its entry was missing then") {
    table.Remove(entry.id, TimeMs(100));
    table.MarkLeaving(process, TimeMs(0));
    table.Put(entry, TimeMs(300));
  }
  CHECK_FALSE(EndpointTable::Usable(*table.Find(entry.id), TimeMs(300)));
}

// Nodes tell each other, and may do so before a node has read the entry.
TEST_CASE("A process that leaves is not used when its entry comes later",
          "[fleet][table]") {
  EndpointTable table;
  const EndpointEntry entry = EngineEntry("e1");
  const EndpointProcess process{entry.id, entry.start_unix_ms};
  CHECK(table.MarkLeaving(process, TimeMs(0)));
  CHECK_FALSE(table.MarkLeaving(process, TimeMs(100)));
  table.Put(entry, TimeMs(200));
  CHECK_FALSE(EndpointTable::Usable(*table.Find(entry.id), TimeMs(200)));
  CHECK_FALSE(table.MarkLeaving(process, TimeMs(300)));
}

}  // namespace yuccamoor::fleet
