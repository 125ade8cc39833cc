/// \file
/// \brief Tests of one idempotency shard against single faults.

#include "yuccamoor/coordination/request/idempotency_shard.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "coordination/request/interning_codec.h"
#include "coordination/request/shard_fakes.h"

namespace yuccamoor {
namespace {

using Log = std::vector<std::string>;
constexpr DurationMs kSettle{500};

struct Bench {
  InterningCodec codec;
  FakeRecords record;
  ShardGateway a{"a", 1, codec, record};
  ShardGateway b{"b", 2, codec, record};
};

}  // namespace

TEST_CASE("Nothing is dispatched before its intent is committed", "[shard]") {
  Bench t;
  t.a.Begin("k", "r1");
  CHECK(t.a.calls().size() == 1);
  t.a.Answer();
  t.a.Pass(DurationMs(60));
  REQUIRE(t.a.calls().size() == 1);
  CHECK(std::holds_alternative<KvCompareAndSwap>(t.a.calls()[0].request));
  CHECK(t.a.log().empty());
  t.a.Answer();
  CHECK(t.a.log() == Log{"r1:run"});
}

TEST_CASE("A repeat gets what the record says, on any gateway", "[shard]") {
  struct Case {
    const char* name;
    std::optional<Outcome> outcome;
    std::uint64_t hash;
    const char* end;
  };
  const Case cases[] = {
      {"running", std::nullopt, 1, ":running,unknown"},
      {"answered", Outcome::kAnswered, 1, ":paid"},
      {"outcome unknown", Outcome::kUnknown, 1, ":outcome_unknown,unknown"},
      {"not run", Outcome::kNotRun, 1, ":run"},
      {"other body", Outcome::kAnswered, 2, ":body_mismatch,unknown"},
  };
  for (const Case& c : cases) {
    for (const bool same_gateway : {true, false}) {
      INFO(c.name << (same_gateway ? " here" : " elsewhere"));
      Bench t;
      t.a.Begin("k", "r1");
      t.a.Run(kSettle);
      if (c.outcome) t.a.Finish("k", *c.outcome, "paid");
      t.a.Run(kSettle);
      ShardGateway& other = same_gateway ? t.a : t.b;
      other.Begin("k", "r2", c.hash, DurationMs(1'000));
      other.Run(kSettle);
      CHECK(other.log().back() == std::string("r2") + c.end);
    }
  }
}

TEST_CASE("A write whose answer was lost is settled by reading", "[shard]") {
  for (const bool took_effect : {true, false}) {
    INFO(took_effect);
    Bench t;
    t.a.Begin("k", "r1");
    t.a.Answer();
    t.a.Pass(DurationMs(60));
    if (took_effect) {
      t.a.Answer(true);
    } else {
      t.a.Fail(KvStatus::kUnknown);
    }
    CHECK(t.a.log().empty());
    t.a.Run(kSettle);
    CHECK(t.a.log() == Log{"r1:run"});
    CHECK(t.a.shard().writes() == (took_effect ? 1 : 2));
  }
}

TEST_CASE("With the service down a first sending is refused as not run",
          "[shard]") {
  for (const KvStatus status :
       {KvStatus::kUnavailable, KvStatus::kRateLimited, KvStatus::kUnknown}) {
    Bench t;
    t.a.Begin("k", "r1");
    t.a.Begin("old", "r2", 1, DurationMs(100));
    for (int i = 0; i < 30; ++i) {
      while (!t.a.calls().empty()) t.a.Fail(status);
      t.a.Pass(DurationMs(100));
    }
    CHECK(t.a.log() == Log{"r1:key_value_service_down,not_run",
                           "r2:key_value_service_down,unknown"});
  }
}

TEST_CASE("A commit that comes after the refusal is withdrawn", "[shard]") {
  Bench t;
  t.a.Begin("k", "r1");
  t.a.Answer();
  t.a.Pass(DurationMs(60));
  t.a.Pass(DurationMs(2'000));
  CHECK(t.a.log() == Log{"r1:key_value_service_down,not_run"});
  t.a.Answer();
  t.a.Run(kSettle);
  CHECK(t.a.log().size() == 1);
  t.b.Begin("k", "r2");
  t.b.Run(kSettle);
  CHECK(t.b.log() == Log{"r2:run"});
}

TEST_CASE("Gateways that contend for a shard commit distinct keys once",
          "[shard]") {
  Bench t;
  t.a.Begin("x", "r1");
  t.b.Begin("y", "r2");
  t.a.Begin("both", "r3");
  t.b.Begin("both", "r4");
  for (int i = 0; i < 100; ++i) {
    t.a.Run(DurationMs(5));
    t.b.Run(DurationMs(5));
  }
  CHECK(t.a.log() == Log{"r3:run", "r1:run"});
  CHECK(t.b.log() == Log{"r4:running,unknown", "r2:run"});
}

TEST_CASE("An intent of a dead process is unknown and never run again",
          "[shard]") {
  Bench t;
  t.a.Begin("k", "r1");
  t.a.Run(kSettle);
  t.b.Begin("k", "r2");
  t.b.Run(kSettle);
  CHECK(t.b.log().back() == "r2:running,unknown");
  SECTION("after the grace") { t.b.Run(DurationMs(30'000)); }
  SECTION("once it is known to be gone") {
    t.b.Take(
        t.b.shard().OnOwnerGone(NodeId("a"), Incarnation(5), TimeMs(2'000)));
  }
  t.b.Begin("k", "r3");
  t.b.Run(kSettle);
  CHECK(t.b.log().back() == "r3:outcome_unknown,unknown");
}

TEST_CASE("Ended keys are kept for the retention, open ones for ever",
          "[shard]") {
  Bench t;
  t.a.Begin("open", "r1");
  t.a.Begin("done", "r2");
  t.a.Run(kSettle);
  t.a.Finish("done", Outcome::kAnswered, "paid");
  t.a.Run(kSettle);
  const DurationMs retention = ShardOptions().retention;
  t.a.Pass(retention - DurationMs(5'000));
  t.a.Run(kSettle);
  t.b.Begin("done", "r3");
  t.b.Run(kSettle);
  CHECK(t.b.log().back() == "r3:paid");
  for (int i = 0; i < 4; ++i) {
    t.a.Pass(retention);
    t.a.Run(kSettle);
  }
  ShardGateway c("c", 3, t.codec, t.record);
  c.Begin("done", "r4", 1, retention * 4);
  c.Begin("open", "r5");
  c.Run(kSettle);
  CHECK(c.log() == Log{"r4:past_retention,unknown", "r5:running,unknown"});
}

TEST_CASE("A full record refuses new keys and keeps the old", "[shard]") {
  InterningCodec codec;
  FakeRecords record;
  ShardOptions options;
  options.max_record_bytes = 20'000;
  options.seal_bytes = 10'000;
  ShardGateway a("a", 1, codec, record, options);
  for (int i = 0; i < 10; ++i) {
    const std::string key = "k" + std::to_string(i);
    a.Begin(key.c_str(), key.c_str());
  }
  a.Run(kSettle);
  CHECK(a.log() == Log{"k0:run", "k1:run", "k2:run", "k3:shard_full,not_run",
                       "k4:shard_full,not_run", "k5:shard_full,not_run",
                       "k6:shard_full,not_run", "k7:shard_full,not_run",
                       "k8:shard_full,not_run", "k9:shard_full,not_run"});
}

TEST_CASE("Ended keys move to segments that any gateway finds, until retention",
          "[shard]") {
  InterningCodec codec;
  FakeRecords record;
  ShardOptions options;
  options.max_record_bytes = 20'000;
  options.seal_bytes = 2'000;
  ShardGateway a("a", 1, codec, record, options);
  for (int i = 0; i < 100; ++i) {
    const std::string key = "k" + std::to_string(i);
    a.Begin(key.c_str(), key.c_str());
    a.Run(DurationMs(100));
    REQUIRE(a.log().back() == key + ":run");
    a.Finish(key.c_str(), Outcome::kAnswered, key.c_str());
    a.Run(DurationMs(100));
  }
  CHECK(record.size() > 10);
  ShardGateway b("b", 2, codec, record, options);
  for (int i = 0; i < 100; ++i) {
    const std::string key = "k" + std::to_string(i);
    b.Begin(key.c_str(), "r", 1, DurationMs(10));
    b.Run(kSettle);
    REQUIRE(b.log().back() == "r:" + key);
    a.Begin(key.c_str(), "r", 1, DurationMs(10));
    a.Run(kSettle);
    REQUIRE(a.log().back() == "r:" + key);
  }
  // Two rotations later the segments are deleted, and only the record is left.
  for (int i = 0; i < 3; ++i) {
    a.Pass(options.retention);
    a.Run(kSettle);
  }
  CHECK(record.size() == 1);
  ShardGateway c("c", 3, codec, record, options);
  c.Begin("k0", "r1", 1, options.retention);
  c.Begin("k1", "r2");
  c.Run(kSettle);
  CHECK(c.log() == Log{"r1:past_retention,unknown", "r2:run"});
}

TEST_CASE("A dead process's claim to a segment is taken over", "[shard]") {
  InterningCodec codec;
  FakeRecords record;
  ShardOptions options;
  options.seal_bytes = 200;
  ShardGateway a("a", 1, codec, record, options);
  a.Begin("k", "r1");
  a.Run(kSettle);
  a.Finish("k", Outcome::kAnswered, "paid");
  // It dies between the claim and the segment.
  const auto writes_segment = [](const ShardKvCall& call) {
    const auto* write = std::get_if<KvCompareAndSwap>(&call.request);
    return write != nullptr && write->key != "shard/0";
  };
  while (a.calls().empty() || !writes_segment(a.calls()[0])) {
    if (!a.calls().empty()) a.Answer();
    a.Pass(DurationMs(5));
  }
  REQUIRE(record.size() == 1);
  ShardGateway b("b", 2, codec, record, options);
  b.Begin("k2", "r2");
  b.Run(kSettle);
  b.Take(b.shard().OnOwnerGone(NodeId("a"), Incarnation(5), TimeMs(1'600)));
  b.Finish("k2", Outcome::kAnswered, "paid");
  b.Run(kSettle);
  CHECK(record.size() == 2);
  // The dead one was only paused: its segment is of no use to anyone.
  a.Run(kSettle);
  for (ShardGateway* gateway : {&a, &b}) {
    for (const char* key : {"k", "k2"}) {
      gateway->Begin(key, "r", 1, DurationMs(10));
      gateway->Run(kSettle);
      CHECK(gateway->log().back() == "r:paid");
    }
  }
}

TEST_CASE("Keys of another form are refused", "[shard]") {
  Bench t;
  t.a.Begin("", "r1");
  t.a.Begin("a b", "r2");
  t.a.Begin("a\"b", "r3");
  t.a.Begin(std::string(129, 'x').c_str(), "r4");
  CHECK(t.a.log().size() == 4);
  CHECK(t.a.calls().empty());
}

}  // namespace yuccamoor
