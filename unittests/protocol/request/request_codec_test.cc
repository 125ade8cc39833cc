/// \file
/// \brief Tests of the codecs of shard records, call ends and gossip.

#include <catch2/catch.hpp>
#include <limits>
#include <string>

#include "yuccamoor/protocol/request/base64.h"
#include "yuccamoor/protocol/request/call_response.h"
#include "yuccamoor/protocol/request/leaving_gossip_codec.h"
#include "yuccamoor/protocol/request/shard_record_codec.h"
#include "yuccamoor/protocol/request/stream_event_id.h"

namespace yuccamoor {
namespace {

constexpr std::uint64_t kLargest = std::numeric_limits<std::uint64_t>::max();

ShardEntry Entry(EntryState state, std::uint64_t number, std::string body) {
  ShardEntry entry;
  entry.body_hash = BodyHash(kLargest);
  entry.state = state;
  entry.nonce = {{NodeId("gw-1"), Incarnation(7), kLargest - number % 2},
                 number};
  entry.ended = Generation(3);
  if (state == EntryState::kAnswered) {
    entry.answer = {200, "application/json", std::move(body), true};
  }
  return entry;
}

ShardRecord Sample() {
  ShardRecord record;
  record.generation = Generation(4);
  std::string bytes;
  for (int i = 0; i < 256; ++i) bytes.push_back(static_cast<char>(i));
  record.entries[IdempotencyKey("a")] = Entry(EntryState::kIntent, 1, "");
  record.entries[IdempotencyKey("b")] = Entry(EntryState::kAnswered, 2, bytes);
  record.entries[IdempotencyKey("c")] = Entry(EntryState::kUnknown, 3, "");
  ShardEntry large = Entry(EntryState::kAnswered, 4, "");
  large.answer.body_kept = false;
  record.entries[IdempotencyKey("d")] = large;
  record.claim = AttemptNonce{{NodeId("gw-2"), Incarnation(1), 5}, 9};
  record.segments.push_back(
      {SegmentNameOf(*record.claim), KvVersion(3), Generation(2)});
  record.garbage.push_back({SegmentName("old"), KvVersion(0), Generation(0)});
  return record;
}

}  // namespace

TEST_CASE("A shard record survives its codec", "[codec]") {
  const JsonShardRecordCodec codec;
  const ShardRecord record = Sample();
  CHECK(codec.Decode(codec.Encode(record)) == record);
  CHECK(codec.Decode(codec.Encode(ShardRecord{})) == ShardRecord{});
}

TEST_CASE("What is no shard record is not taken for an empty one", "[codec]") {
  const JsonShardRecordCodec codec;
  const std::string good = codec.Encode(Sample());
  for (
      const std::string& bad :
      {std::string(), std::string("{}"), std::string("[]"),
       good.substr(0, good.size() / 2),
       std::string(R"({"format":2,"generation":0,"owners":[],"entries":[]})"),
       std::string(
           R"({"format":1,"generation":0,"owners":[],"entries":[["k",1,0,0,1,0]]})"),
       std::string(
           R"({"format":1,"generation":0,"owners":[["n",1,1]],"entries":[["k",1,9,0,1,0]]})")}) {
    INFO(bad);
    CHECK_FALSE(codec.Decode(bad));
  }
}

TEST_CASE("An entry's encoded size stays under its bound", "[codec]") {
  const JsonShardRecordCodec codec;
  const std::size_t empty = codec.Encode(ShardRecord{}).size();
  for (std::size_t size : {0, 1, 2, 3, 4, 100, 4'096}) {
    ShardRecord record;
    const IdempotencyKey key(std::string(128, 'k'));
    ShardEntry& entry = record.entries[key];
    entry = Entry(EntryState::kAnswered, kLargest, std::string(size, '\x01'));
    entry.ended = Generation(kLargest);
    CHECK(codec.Encode(record).size() - empty <= EncodedBytesBound(key, entry));
  }
}

TEST_CASE("Base64 has the known forms", "[codec]") {
  CHECK(EncodeBase64("").empty());
  CHECK(EncodeBase64("f") == "Zg==");
  CHECK(EncodeBase64("fo") == "Zm8=");
  CHECK(EncodeBase64("foo") == "Zm9v");
  CHECK(DecodeBase64("Zm9vYg==") == "foob");
  CHECK_FALSE(DecodeBase64("Zm9"));
  CHECK_FALSE(DecodeBase64("Zm9*"));
  CHECK_FALSE(DecodeBase64("===="));
}

TEST_CASE("The end of a call has one form for callers", "[codec]") {
  CallEnd end;
  end.outcome = Outcome::kNotRun;
  end.error = CallError::kNoEndpoint;
  end.retry_after = DurationMs(1'500);
  CallResponse response = ResponseOf(end);
  CHECK(response.status == 503);
  const Json error = Json::parse(response.body).at("error");
  CHECK(error.at("type") == "no_endpoint");
  CHECK(error.at("outcome") == "not_run");
  CHECK(error.at("retry_after_ms") == 1'500);
  CHECK(RetryAfterSeconds(end.retry_after) == "2");

  end = CallEnd();
  end.error = CallError::kShard;
  end.shard = ShardRefusal::kOutcomeUnknown;
  response = ResponseOf(end);
  CHECK(response.status == 409);
  CHECK(Json::parse(response.body).at("error").at("outcome") == "unknown");

  end = CallEnd();
  end.outcome = Outcome::kAnswered;
  end.answer = StoredAnswer{201, "text/plain", "paid", true};
  CHECK(ResponseOf(end).status == 201);
  CHECK(ResponseOf(end).body == "paid");
  end.answer->body_kept = false;
  response = ResponseOf(end);
  CHECK(response.status == 409);
  CHECK(response.outcome == Outcome::kAnswered);
}

TEST_CASE("The first-sent header takes whole milliseconds only", "[codec]") {
  CHECK(ParseFirstSentAgo("0") == DurationMs(0));
  CHECK(ParseFirstSentAgo("1500") == DurationMs(1'500));
  for (const char* bad : {"", "-1", "1.5", "soon", "9999999999999999999999"}) {
    CHECK_FALSE(ParseFirstSentAgo(bad));
  }
}

TEST_CASE("Gossip survives its codec", "[codec]") {
  LeavingGossip gossip;
  gossip.from = NodeId("gw-1");
  gossip.leaving.push_back({VmId("vm-7"), DurationMs(250)});
  const auto back = Json(gossip).get<LeavingGossip>();
  CHECK(back.from == gossip.from);
  REQUIRE(back.leaving.size() == 1);
  CHECK(back.leaving[0].vm == VmId("vm-7"));
  CHECK(back.leaving[0].age == DurationMs(250));
}

TEST_CASE("An event id is read back exactly as it was given, or not at all",
          "[request]") {
  StreamHandle stream;
  stream.request = RequestId("r\"1.2");
  stream.generation = RequestId(std::string(32, 'a'));
  stream.target = AdapterVersion{AdapterId("uyku"), VersionId("3")};
  stream.worker = WorkerId("w1");
  stream.instance = InstanceId("w1-7");
  stream.attempt = AttemptNumber(2);
  const std::string encoded = EncodeStreamHandle(stream);
  const std::string text = EncodeStreamEventId(encoded, TokenIndex(12));
  const auto read = DecodeStreamEventId(text);
  REQUIRE(read.has_value());
  CHECK(read->stream == stream);
  CHECK(read->index == TokenIndex(12));

  std::vector<std::string> wrong = {"",
                                    "12",
                                    encoded,
                                    encoded + ".",
                                    encoded + ".-1",
                                    encoded + ".012",
                                    encoded + ".12 ",
                                    encoded + ".99999999999",
                                    "2" + text.substr(1),
                                    "1." + EncodeBase64("{}") + ".1",
                                    std::string(5'000, '1')};
  const auto add = [&](const StreamHandle& changed_stream) {
    const std::string part = EncodeStreamHandle(changed_stream);
    wrong.push_back(EncodeStreamEventId(part, TokenIndex(1)));
  };
  StreamHandle changed = stream;
  changed.generation = RequestId("short");
  add(changed);
  changed = stream;
  changed.request = RequestId("a\r\nSet-Cookie: b");
  add(changed);
  changed = stream;
  changed.worker = WorkerId();
  add(changed);
  for (const std::string& id : wrong) {
    CAPTURE(id);
    CHECK_FALSE(DecodeStreamEventId(id).has_value());
  }
}

}  // namespace yuccamoor
