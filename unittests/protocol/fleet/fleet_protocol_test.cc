/// \file
/// \brief Tests of event cutting, header rules and peer messages.

#include <catch2/catch.hpp>
#include <string>

#include "yuccamoor/protocol/fleet/event_cutter.h"
#include "yuccamoor/protocol/fleet/http_head.h"
#include "yuccamoor/protocol/fleet/peer_messages.h"
#include "yuccamoor/protocol/fleet/store_change_codec.h"

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

// The rest of the line became a part of the next request's head.
TEST_CASE("An event's id ends at a carriage return", "[fleet][events]") {
  EventCutter cutter;
  cutter.Feed("id: 1\r\ndata: a\n\n");
  cutter.TakeWhole();
  CHECK(cutter.last_id() == "1");
  cutter.Feed("id: 2\rHold: h1\ndata: a\n\n");
  cutter.TakeWhole();
  CHECK(cutter.last_id() == "2");
  CHECK(cutter.events() == 2);
}

TEST_CASE("A field is one line, whatever its value", "[fleet][http]") {
  std::string out;
  AppendField(out, "A", std::string("1\r\nB: 2\n\0", 9));
  AppendField(out, "C", "");
  CHECK(out == "A: 1  B: 2  \r\nC: \r\n");
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

TEST_CASE("Changes of the store come through as they were", "[fleet][peer]") {
  EndpointEntry entry;
  entry.id = EndpointId("e1");
  entry.service = ServiceId("s");
  entry.address = "10.0.0.1:80";
  entry.domain = FailureDomainId("a");
  entry.slots = 16;
  entry.draining = true;
  entry.start_unix_ms = 1'700'000'000'123;
  entry.models = {ModelId("m")};
  entry.adapters[{ModelId("m"), "a1"}] = AdapterRevision(3);
  TellChanges told;
  told.node = NodeId("n1");
  told.after = Revision(10);
  told.read = Revision(15);
  told.after_outage = true;
  told.changes = {
      EndpointWritten{entry}, EndpointRemoved{EndpointId("e2")},
      RecordWritten{"node/n2", "10.0.0.2:1 7 a", Revision(14)},
      RecordRemoved{"holder/e2"},
      AdapterRevisionPublished{{ModelId("m"), "a2"}, AdapterRevision(5)}};
  const std::string datagram = EncodePeerMessage(told);
  CHECK(datagram.size() <= EncodedSize(told.changes));
  const auto message = DecodePeerMessage(datagram);
  REQUIRE(message);
  const auto& decoded = std::get<TellChanges>(*message);
  CHECK(decoded.node == told.node);
  CHECK(decoded.after == told.after);
  CHECK(decoded.read == told.read);
  CHECK(decoded.complete);
  CHECK(decoded.after_outage);
  REQUIRE(decoded.changes.size() == told.changes.size());
  const auto& written = std::get<EndpointWritten>(decoded.changes[0]).entry;
  CHECK(written.id == entry.id);
  CHECK(written.service == entry.service);
  CHECK(written.address == entry.address);
  CHECK(written.domain == entry.domain);
  CHECK(written.slots == entry.slots);
  CHECK(written.draining);
  CHECK(written.start_unix_ms == entry.start_unix_ms);
  CHECK(written.models == entry.models);
  CHECK(written.adapters == entry.adapters);
  CHECK(std::get<EndpointRemoved>(decoded.changes[1]).id == EndpointId("e2"));
  const auto& record = std::get<RecordWritten>(decoded.changes[2]);
  CHECK(record.key == "node/n2");
  CHECK(record.value == "10.0.0.2:1 7 a");
  CHECK(record.revision == Revision(14));
  CHECK(std::get<RecordRemoved>(decoded.changes[3]).key == "holder/e2");
  const auto& named = std::get<AdapterRevisionPublished>(decoded.changes[4]);
  CHECK(named.revision == AdapterRevision(5));
}

TEST_CASE("Requests for admission and their answers come through as they were",
          "[fleet][peer]") {
  AskAdmission ask;
  ask.id = {NodeId("n1"), 0xFFFF'FFFF'FFFF'FFFEULL};
  ask.engine = EndpointId("e1");
  ask.adapter = {ModelId("m"), "a1"};
  ask.version = AdapterRevision(4);
  ask.least_version = AdapterRevision(3);
  ask.prompt_tokens = 2'400;
  ask.priority = 1;
  ask.tenant = TenantId("t1");
  ask.send_within = DurationMs(-20);
  ask.demand = 3;
  ask.ready_within = DurationMs(400);
  ask.as_home = true;
  const auto asked = DecodePeerMessage(EncodePeerMessage(ask));
  REQUIRE(asked);
  const auto& decoded = std::get<AskAdmission>(*asked);
  CHECK(decoded.id == ask.id);
  CHECK(decoded.engine == ask.engine);
  CHECK(decoded.adapter == ask.adapter);
  CHECK(decoded.version == ask.version);
  CHECK(decoded.least_version == ask.least_version);
  CHECK(decoded.prompt_tokens == ask.prompt_tokens);
  CHECK(decoded.priority == 1);
  CHECK(decoded.tenant == ask.tenant);
  CHECK(decoded.send_within == ask.send_within);
  CHECK(decoded.demand == 3);
  CHECK(decoded.ready_within == ask.ready_within);
  CHECK(decoded.as_home);
  CHECK_FALSE(decoded.enqueue);

  TellAdmission told;
  told.number = 7;
  told.answer.quote.engine = EndpointId("e1");
  told.answer.quote.prompt_wait = DurationMs(30);
  told.answer.quote.requests = 12;
  told.answer.quote.loading = 2;
  SECTION("an engine that holds the adapter") {
    told.answer.quote.version = AdapterRevision(4);
    told.answer.quote.adapter_wait = DurationMs(0);
    told.answer.choices = {EndpointId("e1"), EndpointId("e2")};
  }
  SECTION("an engine that cannot load it") {}
  const auto answered = DecodePeerMessage(EncodePeerMessage(told));
  REQUIRE(answered);
  const auto& answer = std::get<TellAdmission>(*answered);
  CHECK(answer.number == 7);
  CHECK(answer.answer.choices == told.answer.choices);
  CHECK(answer.answer.quote.engine == told.answer.quote.engine);
  CHECK(answer.answer.quote.version == told.answer.quote.version);
  CHECK(answer.answer.quote.adapter_wait == told.answer.quote.adapter_wait);
  CHECK(answer.answer.quote.prompt_wait == DurationMs(30));
  CHECK(answer.answer.quote.requests == 12);
  CHECK(answer.answer.quote.loading == 2);

  TellUse use;
  use.node = NodeId("n1");
  use.use.in_flight[EndpointId("e1")] = 3;
  use.use.used[EndpointId("e1")][{ModelId("m"), "a1"}] = 2;
  use.requests_per_second = 2.5;
  const auto used = DecodePeerMessage(EncodePeerMessage(use));
  REQUIRE(used);
  CHECK(std::get<TellUse>(*used).use.in_flight == use.use.in_flight);
  CHECK(std::get<TellUse>(*used).use.used == use.use.used);
  CHECK(std::get<TellUse>(*used).requests_per_second == 2.5);
}

TEST_CASE("News of crashes come back as they were sent", "[fleet][peer]") {
  const CrashSuspect part{SuspectKind::kPromptPart, "5c"};
  const CrashSuspect request{SuspectKind::kRequest, "dead"};
  TellCrashes told;
  told.node = NodeId("n1");
  told.news.broken_off[{EndpointId("e1"), 7}] = {
      {part, DurationMs(40), request.id},
      {request, DurationMs(50), request.id}};
  told.news.cleared = {part};
  told.news.quarantined = {{request, DurationMs(60'000)}};
  told.asks = true;
  const auto decoded = DecodePeerMessage(EncodePeerMessage(told));
  REQUIRE(decoded);
  const auto& got = std::get<TellCrashes>(*decoded);
  CHECK(got.node == told.node);
  CHECK(got.asks);
  CHECK(got.news.broken_off == told.news.broken_off);
  CHECK(got.news.cleared == told.news.cleared);
  REQUIRE(got.news.quarantined.size() == 1);
  CHECK(got.news.quarantined[0].suspect == request);
  CHECK(got.news.quarantined[0].remaining == DurationMs(60'000));
}

TEST_CASE("News of leaving endpoints come back as they were sent",
          "[fleet][peer]") {
  const TellLeaving told{{EndpointId("e1"), 7}};
  const auto decoded = DecodePeerMessage(EncodePeerMessage(told));
  REQUIRE(decoded);
  CHECK(std::get<TellLeaving>(*decoded).process == told.process);
}

TEST_CASE("Questions for permits come back as they were sent",
          "[fleet][peer][permits]") {
  AskPermit ask;
  ask.node = NodeId("n1");
  ask.number = 7;
  ask.process = {EndpointId("e1"), 5};
  ask.per_second = 1.25;
  ask.named_ago = DurationMs(40);
  ask.max_wait = DurationMs(300);
  ask.forwarded = true;
  const auto asked = DecodePeerMessage(EncodePeerMessage(ask));
  REQUIRE(asked);
  const auto& question = std::get<AskPermit>(*asked);
  CHECK(question.node == ask.node);
  CHECK(question.number == 7);
  CHECK(question.process == ask.process);
  CHECK(question.per_second == 1.25);
  CHECK(question.named_ago == ask.named_ago);
  CHECK(question.max_wait == ask.max_wait);
  CHECK(question.forwarded);

  const TellPermit permit{7, {true, DurationMs(120)}};
  const auto told = DecodePeerMessage(EncodePeerMessage(permit));
  REQUIRE(told);
  CHECK(std::get<TellPermit>(*told).number == 7);
  CHECK(std::get<TellPermit>(*told).decision.granted);
  CHECK(std::get<TellPermit>(*told).decision.wait == DurationMs(120));

  for (const std::optional<double> rate : {std::optional(0.5), {}}) {
    const TellLimit limit{{EndpointId("e1"), 5}, rate};
    const auto got = DecodePeerMessage(EncodePeerMessage(limit));
    REQUIRE(got);
    CHECK(std::get<TellLimit>(*got).process == limit.process);
    CHECK(std::get<TellLimit>(*got).per_second == rate);
  }
  CHECK_FALSE(DecodePeerMessage(
      R"({"type":"limit","endpoint":"e1","start":5,"per_second":-1})"));
}

TEST_CASE("A change that an older node does not know drops the message",
          "[fleet][peer]") {
  CHECK_FALSE(DecodePeerMessage(
      R"({"type":"changes","node":"n","after":1,"read":2,"complete":true,)"
      R"("after_outage":false,"changes":[{"change":"later"}]})"));
}

// Nodes of the release before would accept any older version, and do not tell
// which they accept.
TEST_CASE("Between releases, no older version is asked for or accepted",
          "[fleet][peer][versions]") {
  AskAdmission ask;
  ask.engine = EndpointId("e1");
  ask.adapter = {ModelId("m"), "a1"};
  ask.version = AdapterRevision(4);
  ask.least_version = AdapterRevision(3);
  std::string text = EncodePeerMessage(ask);
  CHECK(text.find(R"("accept_older":false)") != std::string::npos);
  const std::string field = R"("least_version":3,)";
  const std::size_t at = text.find(field);
  REQUIRE(at != std::string::npos);
  text.erase(at, field.size());
  const auto asked = DecodePeerMessage(text);
  REQUIRE(asked);
  CHECK(std::get<AskAdmission>(*asked).least_version == AdapterRevision(4));
}

// Nodes of the release before name no tenant.
TEST_CASE("A request for admission without a tenant is understood",
          "[fleet][peer]") {
  AskAdmission ask;
  ask.engine = EndpointId("e1");
  ask.adapter = {ModelId("m"), "a1"};
  const std::string text = EncodePeerMessage(ask);
  CHECK(text.find("tenant") == std::string::npos);
  const auto asked = DecodePeerMessage(text);
  REQUIRE(asked);
  CHECK(std::get<AskAdmission>(*asked).tenant.empty());
}

TEST_CASE("Messages with figures out of range are dropped", "[fleet][peer]") {
  TellAdmission told;
  told.answer.quote.engine = EndpointId("e1");
  SECTION("a wait that no clock can add") {
    told.answer.quote.adapter_wait = DurationMs(INT64_MAX);
  }
  SECTION("more engines to ask than a request may") {
    told.answer.choices.assign(100, EndpointId("e2"));
  }
  CHECK_FALSE(DecodePeerMessage(EncodePeerMessage(told)));
}

TEST_CASE("A datagram that is no message is dropped", "[fleet][peer]") {
  CHECK_FALSE(DecodePeerMessage(""));
  CHECK_FALSE(DecodePeerMessage("{\"type\":\"ask_load\"}"));
  CHECK_FALSE(DecodePeerMessage("{\"type\":\"no such\"}"));
  CHECK_FALSE(DecodePeerMessage("[1,2]"));
  CHECK_FALSE(DecodePeerMessage("{\"type\":\"loaded\",\"engine\":1}"));
}

// Names that clients choose may hold any bytes. One request with such a name
// ended the process that told another node of it.
TEST_CASE("Messages with bytes that are no text are sent all the same",
          "[fleet][peer]") {
  const std::string bytes = "a\xff\xc3";
  AskLoad ask;
  ask.adapter = {ModelId("m"), bytes};
  CHECK(DecodePeerMessage(EncodePeerMessage(ask)));
  TellCrashes told;
  told.news.cleared = {{SuspectKind::kPromptPart, bytes}};
  CHECK(DecodePeerMessage(EncodePeerMessage(told)));
}

}  // namespace yuccamoor::fleet
