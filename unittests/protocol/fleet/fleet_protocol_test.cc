/// \file
/// \brief Tests of event cutting, header rules and peer messages.

#include <catch2/catch.hpp>

#include "yuccamoor/protocol/fleet/event_cutter.h"
#include "yuccamoor/protocol/fleet/http_head.h"
#include "yuccamoor/protocol/fleet/peer_messages.h"

namespace yuccamoor::fleet {

TEST_CASE("Only whole events are handed out", "[fleet][events]") {
  EventCutter cutter;
  cutter.Feed("id: 1\ndata: a\n\nid: 2\nda");
  CHECK(cutter.TakeWhole() == "id: 1\ndata: a\n\n");
  CHECK(cutter.last_id() == "1");
  CHECK_FALSE(cutter.AtBoundary());
  CHECK(cutter.TakeWhole().empty());
  cutter.Feed("ta: b\n\n");
  CHECK(cutter.TakeWhole() == "id: 2\ndata: b\n\n");
  CHECK(cutter.last_id() == "2");
  CHECK(cutter.events() == 2);
  CHECK(cutter.AtBoundary());
}

TEST_CASE("A cut event is dropped and its id not counted", "[fleet][events]") {
  EventCutter cutter;
  cutter.Feed("id: 1\ndata: a\n\nid: 2\ndata: b\n");
  cutter.TakeWhole();
  cutter.DropPartial();
  CHECK(cutter.last_id() == "1");
  cutter.Feed("id: 2\ndata: b\n\n");
  CHECK(cutter.TakeWhole() == "id: 2\ndata: b\n\n");
}

TEST_CASE("Headers of one connection are not forwarded", "[fleet][http]") {
  HttpHead head;
  head.fields = {{"Connection", "close, X-Mine"}, {"X-Mine", "1"}};
  CHECK(IsHopByHop(head, "connection"));
  CHECK(IsHopByHop(head, "Transfer-Encoding"));
  CHECK(IsHopByHop(head, "x-mine"));
  CHECK_FALSE(IsHopByHop(head, "Model"));
}

TEST_CASE("Peer messages come through as they were", "[fleet][peer]") {
  NodeStatus status;
  status.node = NodeId("n1");
  status.store = {true, 9, {{EndpointId("e1"), Epoch(4)}}};
  status.in_flight[EndpointId("e1")] = 3;
  status.used[EndpointId("e1")][{ModelId("m"), "a1"}] = 2;
  status.held[EndpointId("e1")] = {
      true, 1, 5, {{{ModelId("m"), "a1"}, AdapterRevision(7)}}};
  const auto message = DecodePeerMessage(EncodePeerMessage(status));
  REQUIRE(message);
  const auto& decoded = std::get<NodeStatus>(*message);
  CHECK(decoded.node == status.node);
  CHECK(decoded.store.fresh);
  CHECK(decoded.store.holders == status.store.holders);
  CHECK(decoded.in_flight == status.in_flight);
  CHECK(decoded.used == status.used);
  CHECK(decoded.held.at(EndpointId("e1")).waiting == 5);
  CHECK(decoded.held.at(EndpointId("e1")).adapters ==
        status.held.at(EndpointId("e1")).adapters);
}

TEST_CASE("A datagram that is no message is dropped", "[fleet][peer]") {
  CHECK_FALSE(DecodePeerMessage(""));
  CHECK_FALSE(DecodePeerMessage("{\"type\":\"ask_load\"}"));
  CHECK_FALSE(DecodePeerMessage("{\"type\":\"no such\"}"));
  CHECK_FALSE(DecodePeerMessage("[1,2]"));
  CHECK_FALSE(DecodePeerMessage("{\"type\":\"loaded\",\"engine\":1}"));
}

}  // namespace yuccamoor::fleet
