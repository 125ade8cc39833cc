/// \file
/// \brief Tests of a node's view of its fleet.

#include "yuccamoor/coordination/fleet/fleet_view.h"

#include <catch2/catch.hpp>
#include <optional>
#include <set>
#include <string>

#include "coordination/fleet/fleet_fakes.h"

namespace yuccamoor::fleet {
namespace {

RecordWritten Holder(const std::string& engine, const std::string& node,
                     std::uint64_t revision) {
  return {FleetView::HolderKey(EndpointId(engine)), node, Revision(revision)};
}

}  // namespace

TEST_CASE("A configuration's version never goes back", "[fleet][view]") {
  FleetView view;
  CHECK(view.Apply(ConfigWritten{EngineConfig(7)}, TimeMs(0)) ==
        ViewUpdate::kConfigApplied);
  CHECK(view.Apply(ConfigWritten{EngineConfig(5)}, TimeMs(1)) ==
        ViewUpdate::kConfigIgnored);
  view.Reset({ConfigWritten{EngineConfig(6)}}, TimeMs(2), TimeMs(2));
  CHECK(view.routes()->config().version == Revision(7));
}

TEST_CASE("An engine seen to register that no node has held is known as such",
          "[fleet][view]") {
  FleetView view;
  view.Apply(ConfigWritten{EngineConfig(1)}, TimeMs(0));
  view.Apply(EndpointWritten{EngineEntry("e1")}, TimeMs(0));
  CHECK(view.WasNeverHeld(EndpointId("e1")));
  SECTION("until a holder is seen") {
    view.Apply(Holder("e1", "n1", 9), TimeMs(1));
  }
  SECTION("until changes may have been missed") {
    view.Reset({EndpointWritten{EngineEntry("e1")}}, TimeMs(1), TimeMs(1));
  }
  CHECK_FALSE(view.WasNeverHeld(EndpointId("e1")));
}

TEST_CASE("An engine that registers again after it was held is not new",
          "[fleet][view]") {
  FleetView view;
  view.Apply(ConfigWritten{EngineConfig(1)}, TimeMs(0));
  view.Apply(EndpointWritten{EngineEntry("e1")}, TimeMs(0));
  view.Apply(Holder("e1", "n1", 9), TimeMs(1));
  SECTION("while its holder's record stands") {
    view.Apply(EndpointRemoved{EndpointId("e1")}, TimeMs(2));
  }
  SECTION("after its holder's record has gone") {
    view.Apply(RecordRemoved{FleetView::HolderKey(EndpointId("e1"))},
               TimeMs(2));
    view.Apply(EndpointRemoved{EndpointId("e1")}, TimeMs(2));
  }
  view.Apply(EndpointWritten{EngineEntry("e1")}, TimeMs(3));
  // Its last holder's orders may still be on their way.
  CHECK_FALSE(view.WasNeverHeld(EndpointId("e1")));
}

TEST_CASE("Only entries that change what nodes do are news",
          "[fleet][view][large]") {
  FleetView view;
  EndpointEntry entry = EngineEntry("e1");
  CHECK(view.IsNews(EndpointWritten{entry}));
  CHECK_FALSE(view.IsNews(EndpointRemoved{EndpointId("e1")}));
  view.Apply(EndpointWritten{entry}, TimeMs(0));
  SECTION("adapters are told by the engine's holder") {
    entry.adapters[Adapter("a1")] = AdapterRevision(1);
    CHECK_FALSE(view.IsNews(EndpointWritten{entry}));
  }
  SECTION(
      "a node may know from an answer that the endpoint leaves, others "
      "do not") {
    view.endpoints().MarkLeaving({entry.id, entry.start_unix_ms}, TimeMs(0));
    entry.draining = true;
    CHECK(view.IsNews(EndpointWritten{entry}));
  }
  SECTION("a restart") {
    entry.start_unix_ms = 2;
    CHECK(view.IsNews(EndpointWritten{entry}));
  }
  SECTION("an entry that is back after an outage") {
    view.endpoints().OnStoreRecovered(TimeMs(10));
    view.Apply(EndpointRemoved{entry.id}, TimeMs(20));
    CHECK(view.IsNews(EndpointWritten{entry}));
  }
  CHECK(view.IsNews(EndpointRemoved{EndpointId("e1")}));
  CHECK(view.IsNews(Holder("e1", "n1", 9)));
}

TEST_CASE("A holder's fencing number is its record's revision",
          "[fleet][view]") {
  FleetView view;
  view.Apply(Holder("e1", "n1", 9), TimeMs(0));
  view.Apply(RecordRemoved{FleetView::HolderKey(EndpointId("e1"))}, TimeMs(1));
  CHECK(view.holders().empty());
  view.Apply(Holder("e1", "n2", 14), TimeMs(2));
  CHECK(view.holders().at(EndpointId("e1")).fence == Epoch(14));
}

TEST_CASE("An older version may answer for a while after a newer is named",
          "[fleet][view]") {
  FleetView view;
  const AdapterRef adapter = Adapter("a1");
  view.Apply(AdapterRevisionPublished{adapter, AdapterRevision(2)},
             TimeMs(100));
  CHECK(view.NewestRevision(adapter) == AdapterRevision(2));
  CHECK(view.LeastRevision(adapter, TimeMs(2'000)) == AdapterRevision());
  CHECK(view.LeastRevision(adapter, TimeMs(3'000)) == AdapterRevision(2));
  view.Apply(AdapterRevisionPublished{adapter, AdapterRevision(1)},
             TimeMs(4'000));
  CHECK(view.NewestRevision(adapter) == AdapterRevision(2));
}

// Guards against a later version that makes a superseded one usable again.
TEST_CASE("A third version does not give the first one more time",
          "[fleet][view]") {
  FleetView view;
  const AdapterRef adapter = Adapter("a1");
  view.Apply(AdapterRevisionPublished{adapter, AdapterRevision(1)}, TimeMs(0));
  view.Apply(AdapterRevisionPublished{adapter, AdapterRevision(2)},
             TimeMs(5'000));
  CHECK(view.LeastRevision(adapter, TimeMs(6'900)) == AdapterRevision(1));
  view.Apply(AdapterRevisionPublished{adapter, AdapterRevision(3)},
             TimeMs(6'900));
  CHECK(view.LeastRevision(adapter, TimeMs(6'999)) == AdapterRevision(1));
  CHECK(view.LeastRevision(adapter, TimeMs(7'000)) == AdapterRevision(2));
  CHECK(view.LeastRevision(adapter, TimeMs(8'899)) == AdapterRevision(2));
  CHECK(view.LeastRevision(adapter, TimeMs(8'900)) == AdapterRevision(3));
}

TEST_CASE("A node's record tells its address and lease", "[fleet][view]") {
  const NodeRecord record{
      {"10.0.0.1", 7'380}, StoreLease(77), FailureDomainId("marmara-a")};
  const NodeRecord decoded = DecodeNodeRecord(EncodeNodeRecord(record));
  CHECK(decoded.peer_address == record.peer_address);
  CHECK(decoded.lease == record.lease);
  CHECK(decoded.domain == record.domain);
  CHECK(DecodeNodeRecord("nonsense").peer_address.port == 0);
}

// After the store came back with an older copy, a holder's orders bore a lower
// fencing number than those before.
TEST_CASE("Fencing numbers rise although a restored store's revisions fall",
          "[fleet][view][restore]") {
  FleetView view;
  const auto fence_of = [&view](std::uint64_t revision, std::uint64_t era) {
    RecordWritten record = Holder("e1", "n1", revision);
    record.era = StoreEra(era);
    view.Apply(record, TimeMs(0));
    return view.holders().at(EndpointId("e1")).fence;
  };
  const Epoch before = fence_of(103, 1);
  CHECK(fence_of(104, 1) > before);
  CHECK(fence_of(95, 2) > before);
  CHECK(fence_of(95, 0) == Epoch(95));
}

// Engines that had got orders in the earlier era looked as if they never had.
TEST_CASE("Engines that register after a restore may have had a holder",
          "[fleet][view][restore]") {
  FleetView view;
  view.OnStoreRestored(TimeMs(1'000));
  view.Reset({}, TimeMs(1'000), TimeMs(1'000));
  view.Apply(EndpointWritten{EngineEntry("e1")}, TimeMs(2'500));
  CHECK_FALSE(view.WasNeverHeld(EndpointId("e1")));
  view.Apply(EndpointWritten{EngineEntry("e2")}, TimeMs(9'000));
  CHECK(view.WasNeverHeld(EndpointId("e2")));
}

TEST_CASE("Endpoints that a restored store lacks may register again",
          "[fleet][view][restore]") {
  FleetView view;
  view.Apply(EndpointWritten{EngineEntry("e1")}, TimeMs(0));
  view.OnStoreRestored(TimeMs(1'000));
  view.Reset({}, TimeMs(1'010), TimeMs(1'010));
  REQUIRE(view.endpoints().Find(EndpointId("e1")));
  view.endpoints().Expire(TimeMs(9'000));
  CHECK_FALSE(view.endpoints().Find(EndpointId("e1")));
}

// An entry by another writer made a leaving endpoint usable again.
TEST_CASE("An entry that names no process leaves a leaving endpoint leaving",
          "[fleet][view][odd]") {
  FleetView view;
  EndpointEntry entry = EngineEntry("e1");
  view.Apply(EndpointWritten{entry}, TimeMs(0));
  view.endpoints().MarkLeaving({entry.id, entry.start_unix_ms}, TimeMs(0));
  EndpointEntry without_start = entry;
  without_start.start_unix_ms = 0;
  for (const int time : {1'000, 1'500, 2'000}) {
    view.Apply(EndpointWritten{without_start}, TimeMs(time));
    const Endpoint* known = view.endpoints().Find(entry.id);
    CHECK((!known || !EndpointTable::Usable(*known, TimeMs(time))));
  }
  view.Apply(EndpointWritten{entry}, TimeMs(2'200));
  REQUIRE(view.endpoints().Find(entry.id));
  CHECK_FALSE(
      EndpointTable::Usable(*view.endpoints().Find(entry.id), TimeMs(2'200)));
  // A new process under the same id.
  ++entry.start_unix_ms;
  view.Apply(EndpointWritten{entry}, TimeMs(3'000));
  CHECK(EndpointTable::Usable(*view.endpoints().Find(entry.id), TimeMs(3'000)));
}

TEST_CASE("An entry that names no process names no endpoint to use",
          "[fleet][view][odd]") {
  FleetView view;
  EndpointEntry entry = EngineEntry("e1");
  EndpointEntry without_start = entry;
  without_start.start_unix_ms = 0;
  SECTION("if the endpoint has named one") {
    view.Apply(EndpointWritten{entry}, TimeMs(0));
    CHECK(view.IsNews(EndpointWritten{without_start}));
    CHECK(view.Apply(EndpointWritten{without_start}, TimeMs(100)) ==
          ViewUpdate::kEndpointRemoved);
    CHECK_FALSE(view.IsNews(EndpointWritten{without_start}));
    CHECK(view.Apply(EndpointWritten{without_start}, TimeMs(200)) ==
          ViewUpdate::kUnchanged);
    CHECK(view.Apply(EndpointWritten{entry}, TimeMs(300)) ==
          ViewUpdate::kEndpointAdded);
  }
  SECTION("but where endpoints name none, it does") {
    CHECK(view.Apply(EndpointWritten{without_start}, TimeMs(0)) ==
          ViewUpdate::kEndpointAdded);
    CHECK(view.endpoints().Find(entry.id));
  }
}

// A node that had missed a holder ordered the engine without waiting for the
// end of that holder's orders.
TEST_CASE("Engines that register after missed changes may have had a holder",
          "[fleet][view]") {
  FleetView view;
  SECTION("the node has fallen behind") {
    view.Reset({EndpointWritten{EngineEntry("e1")}}, TimeMs(0), TimeMs(0));
    view.Reset({EndpointWritten{EngineEntry("e1")}}, TimeMs(60'000),
               TimeMs(60'000));
  }
  SECTION("the node has joined a running fleet") {
    view.Reset({EndpointWritten{EngineEntry("e1")}, Holder("e9", "n1", 9)},
               TimeMs(60'000), TimeMs(60'000));
  }
  view.Apply(EndpointRemoved{EndpointId("e1")}, TimeMs(60'500));
  view.Apply(EndpointWritten{EngineEntry("e1")}, TimeMs(61'000));
  CHECK_FALSE(view.WasNeverHeld(EndpointId("e1")));
  view.Apply(EndpointWritten{EngineEntry("e2")}, TimeMs(66'000));
  CHECK(view.WasNeverHeld(EndpointId("e2")));
}

TEST_CASE("Engines that register while a fleet starts have had no holder",
          "[fleet][view]") {
  FleetView view({}, TimeMs(0));
  view.Reset({}, TimeMs(100), TimeMs(100));
  view.Apply(EndpointWritten{EngineEntry("e1")}, TimeMs(500));
  CHECK(view.WasNeverHeld(EndpointId("e1")));
}

// A node that was added while holders' records had run out took the engines,
// which registered again just then, for engines that nobody had ordered.
TEST_CASE("A first read without holders does not show that there were none",
          "[fleet][view]") {
  const auto first_started = GENERATE(
      // Not the fleet's first start.
      std::optional<TimeMs>(),
      // The node did not reach the store until records could run out.
      std::make_optional(TimeMs(56'900)));
  FleetView view({}, first_started);
  view.Reset({}, TimeMs(60'000), TimeMs(60'000));
  view.Apply(EndpointWritten{EngineEntry("e1")}, TimeMs(60'030));
  CHECK_FALSE(view.WasNeverHeld(EndpointId("e1")));
  CHECK(view.NeverHeldEngines().empty());
  view.Apply(EndpointWritten{EngineEntry("e2")}, TimeMs(66'000));
  CHECK(view.WasNeverHeld(EndpointId("e2")));
}

TEST_CASE("Fencing numbers are written as text and read again",
          "[fleet][view]") {
  const std::set<Epoch> fences{Epoch(9),
                               FencingNumber(StoreEra(3), Revision(7))};
  CHECK(DecodeFences(EncodeFences(fences)) == fences);
  CHECK(DecodeFences("").empty());
  CHECK(DecodeFences("9 x 10") == std::set<Epoch>{Epoch(9)});
  CHECK(DecodeFences("9 99999999999999999999") == std::set<Epoch>{Epoch(9)});
}

TEST_CASE("What a node says of its orders stands as long as its record",
          "[fleet][view]") {
  FleetView view;
  const NodeId node("n1");
  const std::string key = FleetView::OrderingKey(node);
  const RecordWritten record{key, "9 20", Revision(30), StoreEra()};
  CHECK_FALSE(view.IsNews(record));
  view.Apply(record, TimeMs(0));
  CHECK(view.OrderingFences(node) == std::set<Epoch>{Epoch(9), Epoch(20)});
  SECTION("its lease ends") { view.Apply(RecordRemoved{key}, TimeMs(1)); }
  SECTION("a full read lacks it") { view.Reset({}, TimeMs(1), TimeMs(1)); }
  CHECK(view.OrderingFences(node).empty());
}

TEST_CASE("Nodes whose records have gone are remembered for a while",
          "[fleet][view]") {
  FleetView view;
  const NodeId node("n2");
  const RecordWritten record{FleetView::NodeKey(node), "10.0.0.2:7380 7 a",
                             Revision(5), StoreEra()};
  view.Reset({record}, TimeMs(0), TimeMs(0));
  SECTION("a lease ends") {
    view.Apply(RecordRemoved{record.key}, TimeMs(100));
  }
  SECTION("a full read lacks them") {
    view.Reset({}, TimeMs(100), TimeMs(100));
  }
  const std::set<NodeId> gone{node};
  CHECK(view.NodesGoneLately() == gone);
  // While the store does not answer, they may have registered again.
  view.SetCurrentAt(TimeMs(5'099));
  CHECK(view.NodesGoneLately() == gone);
  view.SetCurrentAt(TimeMs(5'100));
  CHECK(view.NodesGoneLately().empty());
}

}  // namespace yuccamoor::fleet
