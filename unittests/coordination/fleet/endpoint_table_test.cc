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

}  // namespace yuccamoor::fleet
