/// \file
/// \brief What at-most-once costs the key-value service: eight gateways, 500
/// keys a second, in virtual time.

#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/request/schedule_kv.h"
#include "yuccamoor/coordination/request/idempotency_shard.h"
#include "yuccamoor/coordination/request/shard_home.h"
#include "yuccamoor/protocol/request/shard_record_codec.h"

namespace yuccamoor {
namespace {

constexpr std::uint32_t kShards = 8;
constexpr std::int64_t kKeysPerSecond = 500;
constexpr std::int64_t kSeconds = 30;
constexpr DurationMs kEndpointTime{40};

struct LoadResult {
  std::uint64_t writes = 0;
  std::uint64_t write_bytes = 0;
  std::size_t largest_value = 0;
  std::uint64_t dispatched = 0;
  std::uint64_t replayed = 0;
  std::vector<std::int64_t> commit_ms;

  std::int64_t Percentile(std::size_t share) {
    std::sort(commit_ms.begin(), commit_ms.end());
    return commit_ms.at((commit_ms.size() - 1) * share / 100);
  }
};

/// Each shard at its home. Every tenth key is repeated half a second later.
class ShardLoad {
 public:
  explicit ShardLoad(ShardOptions options) : m_kv(m_timeline) {
    for (std::uint32_t i = 0; i < kShards; ++i) {
      options.record_key = "shard/" + std::to_string(i);
      const ShardOwner owner{NodeId("g" + std::to_string(i)), Incarnation(1),
                             i};
      m_shards.push_back(
          std::move(IdempotencyShard::Create(options, owner, m_codec).value()));
    }
  }

  LoadResult Run() {
    for (std::int64_t ms = 0; ms < kSeconds * 1'000; ms += 5) {
      m_timeline.At(TimeMs(ms), [this] { Tick(); });
    }
    for (std::int64_t i = 0; i < kSeconds * kKeysPerSecond; ++i) {
      const TimeMs when(i * 1'000 / kKeysPerSecond);
      const std::string key = "renewal-2026-12-" + std::to_string(i);
      m_timeline.At(when, [this, key] { Begin(key, "/1"); });
      if (i % 10 != 0) continue;
      m_timeline.At(when + DurationMs(500), [this, key] { Begin(key, "/2"); });
    }
    m_timeline.RunUntil(TimeMs(kSeconds * 1'000));
    m_result.writes = m_kv.writes();
    return std::move(m_result);
  }

 private:
  void Tick() {
    for (std::uint32_t i = 0; i < kShards; ++i) {
      Take(i, m_shards[i]->Tick(m_timeline.now()));
    }
  }

  void Begin(const std::string& key, const char* sending) {
    ShardBegin begin;
    begin.key = IdempotencyKey(key);
    begin.request = RequestId(key + sending);
    const auto shard =
        static_cast<std::uint32_t>(ShardOf(begin.key, kShards).value());
    m_begun[begin.request] = m_timeline.now();
    Take(shard, m_shards[shard]->Begin(begin, m_timeline.now()));
  }

  void Take(std::uint32_t shard, const ShardActions& actions) {
    for (const ShardAction& action : actions) {
      if (const auto* call = std::get_if<ShardKvCall>(&action)) {
        Call(shard, *call);
      } else if (const auto* run = std::get_if<ShardDispatch>(&action)) {
        Dispatch(shard, *run);
      } else if (std::holds_alternative<ShardReplay>(action)) {
        ++m_result.replayed;
      }
    }
  }

  void Call(std::uint32_t shard, const ShardKvCall& call) {
    if (const auto* write = std::get_if<KvCompareAndSwap>(&call.request)) {
      m_result.write_bytes += write->value.size();
      m_result.largest_value =
          std::max(m_result.largest_value, write->value.size());
    }
    m_kv.Call(call.request, [this, shard,
                             number = call.number](const KvReply& reply) {
      Take(shard, m_shards[shard]->OnKvReply(number, reply, m_timeline.now()));
    });
  }

  void Dispatch(std::uint32_t shard, const ShardDispatch& dispatch) {
    ++m_result.dispatched;
    const DurationMs waited = m_timeline.now() - m_begun.at(dispatch.request);
    m_result.commit_ms.push_back(waited.ms());
    m_timeline.After(kEndpointTime, [this, shard, key = dispatch.key] {
      StoredAnswer answer;
      answer.status = 200;
      answer.content_type = "application/json";
      answer.body = R"({"renewal":"paid","amount":1499,"currency":"TRY"})";
      Take(shard, m_shards[shard]->Finish(key, Outcome::kAnswered, answer,
                                          m_timeline.now()));
    });
  }

  Timeline m_timeline{1};
  ScheduleKv m_kv;
  JsonShardRecordCodec m_codec;
  std::vector<std::unique_ptr<IdempotencyShard>> m_shards;
  std::map<RequestId, TimeMs> m_begun;
  LoadResult m_result;
};

constexpr std::uint64_t kMaxWrites = 200 * kSeconds;
constexpr std::uint64_t kKeys = kKeysPerSecond * kSeconds;

}  // namespace

TEST_CASE("At-most-once stays within the key-value service's rate", "[shard]") {
  LoadResult result = ShardLoad(ShardOptions{}).Run();
  std::cout << "at most once, 8 gateways, 500 keys/s: "
            << result.writes / kSeconds << " writes/s, "
            << result.write_bytes / result.writes
            << " bytes per write, largest " << result.largest_value
            << ", commit p50 " << result.Percentile(50) << " ms, p99 "
            << result.Percentile(99) << " ms\n";
  CHECK(result.writes < kMaxWrites);
  // Only the last commit interval's keys may still wait.
  CHECK(result.dispatched + kKeysPerSecond / 2 > kKeys);
  CHECK(result.dispatched <= kKeys);
  CHECK(result.replayed + kKeysPerSecond / 2 > kKeys / 10);
  CHECK(result.largest_value < kKvMaxValueBytes);
}

TEST_CASE("Writes without an interval break the rate", "[shard]") {
  ShardOptions options;
  options.gather_window = DurationMs(0);
  options.min_write_interval = DurationMs(0);
  CHECK(ShardLoad(options).Run().writes > kMaxWrites);
}

TEST_CASE("Homes are spread, and move only with their gateway", "[shard]") {
  constexpr std::uint32_t kMany = 1'024;
  std::vector<NodeId> gateways;
  gateways.reserve(8);
  for (int i = 0; i < 8; ++i) gateways.emplace_back("g" + std::to_string(i));
  std::map<NodeId, std::uint32_t> homes;
  std::vector<NodeId> fewer(gateways.begin(), gateways.end() - 1);
  for (std::uint32_t i = 0; i < kMany; ++i) {
    const auto home = HomeOf(ShardNumber(i), gateways);
    REQUIRE(home);
    ++homes[*home];
    if (*home != gateways.back()) {
      CHECK(HomeOf(ShardNumber(i), fewer) == home);
    }
  }
  for (const NodeId& gateway : gateways) CHECK(homes[gateway] > kMany / 16);
  CHECK_FALSE(HomeOf(ShardNumber(0), {}));
  CHECK(HashRequest("POST", "/a", "bc") != HashRequest("POST", "/ab", "c"));
}

}  // namespace yuccamoor
