/// \file
/// \brief Round trips of the platform's codecs, and what they refuse.

#include <catch2/catch.hpp>

#include "yuccamoor/protocol/platform/engine_codec.h"
#include "yuccamoor/protocol/platform/generation.h"
#include "yuccamoor/protocol/platform/key_value_codec.h"
#include "yuccamoor/protocol/platform/vm_list_codec.h"

namespace yuccamoor {
namespace {

const AdapterVersion kTarget{AdapterId("chat"), VersionId("1")};

}  // namespace

TEST_CASE("Key-value messages survive their codec", "[codec]") {
  const std::vector<KvRequest> requests = {
      KvGet{"k"},
      KvList{"p/"},
      KvCompareAndSwap{"k", KvVersion(7), "v\n\"", KvLease(3)},
      KvDelete{"k", KvVersion(8)},
      KvWatch{"p/", KvVersion(9), DurationMs(50)},
      KvLeaseGrant{DurationMs(1'000)},
      KvLeaseRenew{KvLease(4)},
  };
  for (const KvRequest& request : requests) {
    const std::string text = EncodeKvRequest(request);
    INFO(text);
    const auto decoded = DecodeKvRequest(text);
    REQUIRE(decoded.has_value());
    CHECK(decoded->index() == request.index());
    CHECK(EncodeKvRequest(*decoded) == text);
  }
  KvReply reply;
  reply.status = KvStatus::kConflict;
  reply.version = KvVersion(3);
  reply.lease = KvLease(4);
  reply.entries = {KvEntry{"k", "v", KvVersion(3)}};
  const auto decoded = DecodeKvReply(EncodeKvReply(reply));
  REQUIRE(decoded.has_value());
  CHECK(EncodeKvReply(*decoded) == EncodeKvReply(reply));
}

// Daemons learned of no member while such an entry stood in the list.
TEST_CASE("An entry that cannot be read keeps no other from being read",
          "[codec][odd]") {
  const std::string odd =
      GENERATE(R"({"key":5,"value":"x","version":1})", R"({"key":"m/\udcff"})",
               "null", "{\"key\":\"m/\xff\",\"value\":\"x\",\"version\":1}",
               R"({"key":"m/3","value":"x","version":1e999})");
  CAPTURE(odd);
  const std::string head = R"({"status":"ok","version":7,"entries":[)";
  const std::string sound = R"({"key":"m/1","value":"x","version":3})";
  const auto reply = DecodeKvReply(head + sound + "," + odd + "]}");
  REQUIRE(reply);
  REQUIRE(reply->entries.size() == 1);
  CHECK(reply->entries.front().key == "m/1");
  CHECK(reply->version == KvVersion(7));
  // One that was asked for by its key is not missing.
  CHECK_FALSE(DecodeKvReply(head + odd + "]}"));
}

TEST_CASE("Engine messages survive their codec", "[codec]") {
  EngineOrder order;
  order.cell = CellId("c");
  order.epoch = Epoch(5);
  order.number = OrderNumber(6);
  order.kind = OrderKind::kEvict;
  order.worker = WorkerId("w");
  order.target = kTarget;
  const auto same_order = DecodeEngineOrder(EncodeEngineOrder(order));
  REQUIRE(same_order.has_value());
  CHECK(EncodeEngineOrder(*same_order) == EncodeEngineOrder(order));
  EngineReport report;
  report.worker = WorkerId("w");
  report.sequence = Sequence(3);
  report.age = DurationMs(40);
  report.leaving = true;
  report.residents = {ResidentReport{kTarget, 2}};
  report.loading = {AdapterVersion{AdapterId("diary"), VersionId("2")}};
  const auto same_report = DecodeEngineReport(EncodeEngineReport(report));
  REQUIRE(same_report.has_value());
  CHECK(EncodeEngineReport(*same_report) == EncodeEngineReport(report));
  CHECK(same_report->residents[0].running == 2);
  OrderResult result;
  result.status = OrderStatus::kStaleEpoch;
  const auto same_result = DecodeOrderResult(EncodeOrderResult(result));
  REQUIRE(same_result.has_value());
  CHECK(same_result->status == OrderStatus::kStaleEpoch);
}

TEST_CASE("Malformed platform messages are refused", "[codec]") {
  const std::vector<std::string> malformed = {
      "",
      "[]",
      "{}",
      R"({"op":"drop"})",
      R"({"op":"cas","key":"k","expected":-1,"value":"v"})",
      R"({"op":"get","key":3})",
      R"({"status":"fine"})",
      R"({"vms":[{"id":"v"}]})",
      R"({"cell":"c","epoch":-1,"number":1,"kind":"load","worker":"w","target":"a@1"})",
      R"({"cell":"c","epoch":1,"number":1,"kind":"load","worker":"w","target":"a"})",
      R"({"request_id":"r","target":"a@1","prompt":"p","max_tokens":-1})",
  };
  for (const std::string& text : malformed) {
    INFO(text);
    CHECK_FALSE(DecodeKvRequest(text).has_value());
    CHECK_FALSE(DecodeKvReply(text).has_value());
    CHECK_FALSE(DecodeEngineOrder(text).has_value());
    CHECK_FALSE(DecodeOrderResult(text).has_value());
    CHECK_FALSE(DecodeEngineReport(text).has_value());
    CHECK_FALSE(DecodeGenerateRequest(text).has_value());
    CHECK_FALSE(DecodeTokenEvent(text).has_value());
    CHECK_FALSE(DecodeVmList(text).has_value());
  }
  CHECK(
      DecodeVmList(R"({"vms":[{"id":"v","failure_domain":"d"}]})").has_value());
}

}  // namespace yuccamoor
