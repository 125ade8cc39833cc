/// \file
/// \brief Tests of the residency codec.

#include "yuccamoor/protocol/residency_codec.h"

#include <catch2/catch.hpp>

namespace yuccamoor {
namespace {

AdapterVersion Target() {
  return AdapterVersion{AdapterId("diary"), VersionId("v1")};
}

}  // namespace

TEST_CASE("A sync survives a round trip", "[residency]") {
  ResidencySync sync;
  sync.gateway = NodeId("gw-1");
  sync.reply_to = "127.0.0.1:9000";
  sync.incarnation = Incarnation(3);
  sync.cell = CellId("asistan");
  sync.epoch = Epoch(7);
  sync.sequence = Sequence(11);
  sync.full = true;
  sync.wants = {
      {Target(), Priority::kInteractive, 4, DurationMs(50), DurationMs(900)}};
  sync.holdings = {
      {LeaseNumber(5), Target(), WorkerId("w1"), InstanceId("i1"), 2}};
  sync.returns = {LeaseNumber(9)};
  const auto decoded = DecodeResidencySync(EncodeResidencySync(sync));
  REQUIRE(decoded.has_value());
  CHECK(EncodeResidencySync(decoded.value()) == EncodeResidencySync(sync));
  CHECK(decoded.value().wants[0].shortest_deadline == DurationMs(900));
  CHECK(decoded.value().holdings[0].running == 2);
  CHECK(decoded.value().full);
}

TEST_CASE("An update survives a round trip", "[residency]") {
  ResidencyUpdate update;
  update.cell = CellId("asistan");
  update.epoch = Epoch(7);
  update.gateway = NodeId("gw-1");
  update.acknowledged = Sequence(11);
  update.session_ttl = DurationMs(4'000);
  update.grants = {{LeaseNumber(5), Target(), WorkerId("w1"), "127.0.0.1:1",
                    InstanceId("i1"), 16}};
  update.recalls = {LeaseNumber(4)};
  update.refusals = {{Target(), RefusalReason::kLoadFailed, DurationMs(10)}};
  const auto decoded = DecodeResidencyUpdate(EncodeResidencyUpdate(update));
  REQUIRE(decoded.has_value());
  CHECK(EncodeResidencyUpdate(decoded.value()) ==
        EncodeResidencyUpdate(update));
  CHECK(decoded.value().grants[0].credit == 16);
  CHECK(decoded.value().refusals[0].reason == RefusalReason::kLoadFailed);
}

TEST_CASE("Malformed messages are findings", "[residency]") {
  const std::string head =
      R"({"cell":"c","epoch":1,"gateway":"g","inc":1,"ack":1,"ttl":1)";
  const std::string negative =
      R"({"cell":"c","epoch":-1,"gateway":"g","inc":1,"ack":1,"ttl":1})";
  const std::string reason =
      head + R"(,"refusals":[{"t":"a@v","r":99,"a":1}]})";
  const std::vector<std::string> cases = {"",           "{}",     "[]",
                                          R"({"c":1})", negative, reason};
  for (const std::string& text : cases) {
    CAPTURE(text);
    CHECK(DecodeResidencyUpdate(text).has_error());
    CHECK(DecodeResidencySync(text).has_error());
  }
}

}  // namespace yuccamoor
