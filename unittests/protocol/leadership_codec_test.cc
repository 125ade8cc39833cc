/// \file
/// \brief Tests of the leadership codec.

#include "yuccamoor/protocol/leadership_codec.h"

#include <catch2/catch.hpp>

#include "yuccamoor/protocol/json.h"

namespace yuccamoor {
namespace {

LeadershipRecord MakeRecord() {
  const Candidate leader{NodeId("n0"), "10.0.0.1:1", FailureDomainId("d0")};
  const Candidate earlier{NodeId("n1"), "10.0.0.2:1", FailureDomainId("d1")};
  const SlotKey key{WorkerId("w0"), {AdapterId("a"), VersionId("1")}};
  LeadershipRecord record;
  record.epoch = Epoch(7);
  record.leader = leader;
  record.incarnation = Incarnation(3);
  record.attempt = Sequence(9);
  record.ttl = DurationMs(2'000);
  record.successors = {earlier};
  record.evictions = {key};
  record.last_void_hold = Sequence(5);
  record.unsettled = {
      UnsettledTerm{earlier, Incarnation(2), Epoch(6), true, {key}}};
  return record;
}

}  // namespace

TEST_CASE("A leadership record survives a round trip", "[leadership]") {
  const JsonRecordCodec codec;
  const LeadershipRecord record = MakeRecord();
  CHECK(codec.Decode(codec.Encode(record)) == record);
}

TEST_CASE("A record of an earlier release is read", "[leadership]") {
  const JsonRecordCodec codec;
  LeadershipRecord record = MakeRecord();
  Json json = Json::parse(codec.Encode(record));
  json.erase("evictions");
  json.erase("last_void_hold");
  json.erase("unsettled");
  record.evictions.clear();
  record.last_void_hold = Sequence();
  record.unsettled.clear();
  CHECK(codec.Decode(json.dump()) == record);
}

}  // namespace yuccamoor
