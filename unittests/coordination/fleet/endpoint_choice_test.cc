/// \file
/// \brief Tests of the selection of endpoints and of engines that load an
/// adapter.

#include "yuccamoor/coordination/fleet/endpoint_choice.h"

#include <catch2/catch.hpp>

#include "coordination/fleet/fleet_fakes.h"
#include "yuccamoor/coordination/fleet/adapter_popularity.h"

namespace yuccamoor::fleet {
namespace {

EndpointTable Engines(int count) {
  EndpointTable table;
  for (int i = 1; i <= count; ++i) {
    table.Put(EngineEntry("e" + std::to_string(i)), TimeMs(0));
  }
  return table;
}

EndpointQuery Query(const std::string& adapter) {
  EndpointQuery query;
  query.service = kEngines;
  query.adapter = Adapter(adapter);
  query.domain = FailureDomainId("a");
  return query;
}

void SetHeld(EndpointTable& table, const std::string& engine,
             const std::string& adapter, std::uint64_t version = 1) {
  table.Find(EndpointId(engine))->adapters[Adapter(adapter)] =
      AdapterRevision(version);
}

}  // namespace

TEST_CASE("A request goes to an engine that holds its adapter",
          "[fleet][choice]") {
  EndpointTable table = Engines(3);
  SetHeld(table, "e2", "a1");
  const EndpointChoice choice = ChooseEndpoint(table, Query("a1"), TimeMs(0));
  CHECK(choice.send_to == EndpointId("e2"));
  CHECK(choice.load_candidates.empty());
}

TEST_CASE("All nodes choose the same place for an adapter", "[fleet][choice]") {
  const EndpointTable table = Engines(5);
  const EndpointChoice one = ChooseEndpoint(table, Query("a1"), TimeMs(0));
  const EndpointChoice two = ChooseEndpoint(table, Query("a1"), TimeMs(9));
  CHECK_FALSE(one.send_to);
  CHECK(one.load_candidates == two.load_candidates);
  CHECK(one.load_candidates.size() == 5);
}

TEST_CASE("Of several engines, the one that begins soonest gets the request",
          "[fleet][choice][load]") {
  EndpointTable table = Engines(2);
  SetHeld(table, "e1", "a1");
  SetHeld(table, "e2", "a1");
  table.Find(EndpointId("e1"))->in_flight = 3;
  CHECK(ChooseEndpoint(table, Query("a1"), TimeMs(0)).send_to ==
        EndpointId("e2"));
  // The prefill backlog counts as load, too.
  table.Find(EndpointId("e2"))->prefill_until = TimeMs(200);
  CHECK(ChooseEndpoint(table, Query("a1"), TimeMs(0)).send_to ==
        EndpointId("e1"));
}

TEST_CASE("A busy adapter gets one more copy, at an engine without it",
          "[fleet][choice][load]") {
  EndpointTable table = Engines(3);
  SetHeld(table, "e1", "a1");
  EndpointQuery query = Query("a1");
  query.copies = 2;
  const EndpointChoice choice = ChooseEndpoint(table, query, TimeMs(0));
  CHECK(choice.send_to == EndpointId("e1"));
  REQUIRE_FALSE(choice.load_candidates.empty());
  CHECK(choice.load_candidates.front() != EndpointId("e1"));
}

TEST_CASE("A newer version loads beside the older one, which answers meanwhile",
          "[fleet][choice]") {
  EndpointTable table = Engines(3);
  SetHeld(table, "e1", "a1", 1);
  EndpointQuery query = Query("a1");
  query.version = AdapterRevision(2);
  query.least_version = AdapterRevision(1);
  EndpointChoice choice = ChooseEndpoint(table, query, TimeMs(0));
  CHECK(choice.send_to == EndpointId("e1"));
  REQUIRE_FALSE(choice.load_candidates.empty());
  CHECK(choice.load_candidates.front() != EndpointId("e1"));
  query.least_version = AdapterRevision(2);
  choice = ChooseEndpoint(table, query, TimeMs(0));
  CHECK_FALSE(choice.send_to);
  SetHeld(table, "e3", "a1", 2);
  CHECK(ChooseEndpoint(table, query, TimeMs(0)).send_to == EndpointId("e3"));
}

TEST_CASE("Leaving, unreachable and excluded endpoints get nothing",
          "[fleet][choice]") {
  EndpointTable table = Engines(3);
  for (const char* id : {"e1", "e2", "e3"}) SetHeld(table, id, "a1");
  table.MarkLeaving({EndpointId("e1"), 1}, TimeMs(0));
  table.OnConnectFailed(EndpointId("e2"), TimeMs(0));
  EndpointQuery query = Query("a1");
  CHECK(ChooseEndpoint(table, query, TimeMs(1)).send_to == EndpointId("e3"));
  query.excluded = {EndpointId("e3")};
  const EndpointChoice choice = ChooseEndpoint(table, query, TimeMs(1));
  CHECK_FALSE(choice.any_usable);
  CHECK_FALSE(choice.send_to);
}

TEST_CASE("Copies follow an adapter's share of requests",
          "[fleet][choice][load]") {
  // Nine engines; the busiest adapter gets a fifth of all requests.
  AdapterPopularity popularity;
  const TimeMs now(1'000);
  popularity.AddRequests(Adapter("top"), 22, now);
  popularity.AddRequests(Adapter("second"), 9, now);
  popularity.AddRequests(Adapter("rest"), 69, now);
  popularity.AddRequests(Adapter("rare"), 1, now);
  CHECK(popularity.DesiredCopies(Adapter("top"), 9, now) == 5);
  CHECK(popularity.DesiredCopies(Adapter("second"), 9, now) == 3);
  CHECK(popularity.DesiredCopies(Adapter("rare"), 9, now) == 1);
  CHECK(popularity.DesiredCopies(Adapter("none"), 9, now) == 1);
  // Four seconds later the demand has decayed.
  CHECK(popularity.DesiredCopies(Adapter("top"), 9, now + DurationMs(4'000)) ==
        1);
}

TEST_CASE(
    "Endpoints that take no request now come last, the next to open first",
    "[fleet][choice][intake]") {
  EndpointTable table = Engines(3);
  for (const char* engine : {"e1", "e2", "e3"}) SetHeld(table, engine, "a1");
  const auto close = [&table](const char* engine, TimeMs until) {
    table.Find(EndpointId(engine))->intake.OnNoPermit(until);
  };
  close("e1", TimeMs(400));
  close("e2", TimeMs(300));
  CHECK(ChooseEndpoint(table, Query("a1"), TimeMs(0)).send_to ==
        EndpointId("e3"));
  close("e3", TimeMs(500));
  CHECK(ChooseEndpoint(table, Query("a1"), TimeMs(0)).send_to ==
        EndpointId("e2"));
  CHECK(ChooseEndpoint(table, Query("a1"), TimeMs(450)).send_to !=
        EndpointId("e3"));
}

TEST_CASE("Adapters are loaded on engines without a limit first",
          "[fleet][choice][intake]") {
  EndpointTable table = Engines(3);
  const auto first =
      ChooseEndpoint(table, Query("a1"), TimeMs(0)).load_candidates.front();
  table.Find(first)->intake.OnToldLimit(2.0, TimeMs(0));
  const auto ranked =
      ChooseEndpoint(table, Query("a1"), TimeMs(0)).load_candidates;
  REQUIRE(ranked.size() == 3);
  CHECK(ranked.back() == first);
}

}  // namespace yuccamoor::fleet
