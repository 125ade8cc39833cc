/// \file
/// \brief Tests of the shard host: who gets which verdict.

#include "yuccamoor/transport/gateway/shard_host.h"

#include <catch2/catch.hpp>
#include <deque>
#include <utility>
#include <vector>

#include "coordination/request/shard_fakes.h"
#include "yuccamoor/coordination/key_value_service.h"
#include "yuccamoor/transport/worker_pool.h"

namespace yuccamoor {
namespace {

/// Answers calls only when told to.
class HeldKeyValue final : public KeyValueService {
 public:
  void Call(KvRequest request, DurationMs /*timeout*/, Callback done) override {
    m_held.emplace_back(std::move(request), std::move(done));
  }

  void AnswerAll() {
    while (!m_held.empty()) {
      const auto [request, done] = std::move(m_held.front());
      m_held.pop_front();
      done(m_records.Apply(request));
    }
  }

 private:
  FakeRecords m_records;
  std::deque<std::pair<KvRequest, Callback>> m_held;
};

}  // namespace

TEST_CASE("Sendings that share a request id get a verdict each",
          "[shard_host]") {
  HeldKeyValue key_value;
  ManualClock clock;
  clock.Advance(DurationMs(1'000));
  const auto host =
      ShardHost::Create(key_value, clock, {NodeId("a"), Incarnation(1), 1})
          .value();
  asio::io_context context;
  std::vector<ShardVerdict> verdicts;
  for (int i = 0; i < 2; ++i) {
    SpawnLogged(context.get_executor(), [&]() -> Awaitable<void> {
      ShardBegin begin;
      begin.key = IdempotencyKey("k");
      begin.request = RequestId("same");
      ShardVerdict verdict = co_await host->Begin(std::move(begin));
      verdicts.push_back(std::move(verdict));
    });
  }
  for (int i = 0; i < 10; ++i) {
    context.poll();
    key_value.AnswerAll();
    clock.Advance(DurationMs(60));
    host->Tick();
  }
  context.poll();
  REQUIRE(verdicts.size() == 2);
  // The second hears at once that the key is in use; the first may run.
  CHECK(std::holds_alternative<ShardRefuse>(verdicts[0]));
  CHECK(std::holds_alternative<ShardDispatch>(verdicts[1]));
  host->Finish(IdempotencyKey("k"), Outcome::kAnswered, {});
  for (int i = 0; i < 4; ++i) {
    key_value.AnswerAll();
    clock.Advance(DurationMs(60));
    host->Tick();
  }
  CHECK(host->Idle());
}

}  // namespace yuccamoor
