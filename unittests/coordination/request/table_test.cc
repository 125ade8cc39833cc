/// \file
/// \brief Tests of the table of shards and of the shutdown's phases.

#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <set>
#include <string>

#include "coordination/request/interning_codec.h"
#include "coordination/request/shard_fakes.h"
#include "yuccamoor/coordination/request/idempotency_table.h"
#include "yuccamoor/coordination/request/shutdown_sequence.h"

namespace yuccamoor {

TEST_CASE("A table runs each key once over several shards", "[table]") {
  InterningCodec codec;
  FakeRecords records;
  TableOptions options;
  options.shards = 4;
  const auto table = std::move(
      IdempotencyTable::Create(options, {NodeId("a"), Incarnation(1), 1}, codec)
          .value());
  std::deque<TableAction> pending;
  const auto take = [&](TableActions actions) {
    for (TableAction& action : actions) pending.push_back(std::move(action));
  };
  std::multiset<std::string> dispatched;
  TimeMs now(1'000);
  for (int i = 0; i < 20; ++i) {
    ShardBegin begin;
    begin.key = IdempotencyKey("k" + std::to_string(i % 10));
    begin.request = RequestId("r" + std::to_string(i));
    take(table->Begin(begin, now));
  }
  CHECK_FALSE(table->Idle());
  std::size_t refused = 0;
  while (now < TimeMs(2'000)) {
    now = now + DurationMs(5);
    take(table->Tick(now));
    while (!pending.empty()) {
      const TableAction item = pending.front();
      pending.pop_front();
      if (const auto* call = std::get_if<ShardKvCall>(&item.action)) {
        take(table->OnKvReply(item.shard, call->number,
                              records.Apply(call->request), now));
      } else if (const auto* run = std::get_if<ShardDispatch>(&item.action)) {
        dispatched.insert(run->key.str());
        CHECK(item.shard == table->ShardOfKey(run->key));
        take(table->Finish(run->key, Outcome::kAnswered, {}, now));
      } else {
        ++refused;
      }
    }
  }
  CHECK(table->Idle());
  CHECK(dispatched.size() == 10);
  CHECK(std::set<std::string>(dispatched.begin(), dispatched.end()).size() ==
        10);
  CHECK(refused == 10);
  CHECK(records.size() == 4);
}

TEST_CASE("A table without shards or owner is reported", "[table]") {
  InterningCodec codec;
  TableOptions options;
  options.shards = 0;
  const auto table = IdempotencyTable::Create(options, {}, codec);
  REQUIRE_FALSE(table);
  CHECK(table.error().size() == 2);
}

TEST_CASE("A shutdown waits for all that is in flight", "[shutdown]") {
  ShutdownSequence shutdown({DurationMs(3'000), DurationMs(60'000)});
  CHECK(shutdown.Advance({}, TimeMs(99'000)) == ShutdownPhase::kServing);
  shutdown.Begin(TimeMs(100'000));
  shutdown.Begin(TimeMs(102'000));
  CHECK(shutdown.Advance({}, TimeMs(102'999)) == ShutdownPhase::kUnready);
  CHECK(shutdown.Advance({1, false, false}, TimeMs(103'000)) ==
        ShutdownPhase::kDraining);
  CHECK(shutdown.Advance({0, true, false}, TimeMs(104'000)) ==
        ShutdownPhase::kDraining);
  CHECK(shutdown.Advance({0, false, true}, TimeMs(104'000)) ==
        ShutdownPhase::kDraining);
  SECTION("all ended") {
    CHECK(shutdown.Advance({}, TimeMs(105'000)) == ShutdownPhase::kDone);
  }
  SECTION("the grace is over") {
    CHECK(shutdown.Advance({1, false, false}, TimeMs(160'000)) ==
          ShutdownPhase::kGraceOver);
  }
}

TEST_CASE("A shutdown ends only on a load read after the intake stopped",
          "[shutdown]") {
  ShutdownSequence shutdown({DurationMs(3'000), DurationMs(60'000)});
  shutdown.Begin(TimeMs(100'000));
  CHECK(shutdown.Advance({}, TimeMs(103'000)) == ShutdownPhase::kDraining);
  CHECK(shutdown.Advance({1, false, false}, TimeMs(103'020)) ==
        ShutdownPhase::kDraining);
  CHECK(shutdown.Advance({}, TimeMs(103'040)) == ShutdownPhase::kDone);
}

}  // namespace yuccamoor
