/// \file
/// \brief Tests of a gateway's client against a cell's leader, step by step.

#include "yuccamoor/coordination/cell/cell_leader.h"

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "coordination/cell/first_fit_policy.h"
#include "yuccamoor/coordination/residency/residency_client.h"

namespace yuccamoor {
namespace {

const CellId kCell{"cell"};
const NodeId kGateway{"gateway"};
const WorkerId kWorker{"w0"};
const AdapterVersion kFirst{AdapterId("a"), VersionId("1")};
const AdapterVersion kSecond{AdapterId("b"), VersionId("1")};

CellConfig OneWorker() {
  CellConfig config;
  config.id = kCell;
  config.workers.push_back(
      WorkerConfig{kWorker, "addr", FailureDomainId("d"), VmId("vm")});
  config.store_loads_per_second = 4;
  return config;
}

/// A leader and a gateway that exchange messages at once.
struct Pair {
  explicit Pair(std::uint32_t worker_slots = 1)
      : slots(worker_slots),
        leader(CellLeader::Create(OneWorker(), Epoch(1), now,
                                  std::make_unique<FirstFitPolicy>(), {}, now)
                   .value()),
        client(ResidencyClient::Create(
                   ResidencyClientOptions{kCell, kGateway, Incarnation(1)})
                   .value()) {
    client.OnLeader(Epoch(1));
    leader.OnGateways({kGateway});
  }

  void Exchange() {
    const ResidencyTick tick = client.Tick(now);
    ready = tick.ready;
    if (tick.sync) Take(leader.OnSync(*tick.sync, now));
    // Evictions are announced as soon as they are wanted.
    EvictionClearance clearance;
    clearance.announced = leader.EvictionsToAnnounce();
    leader.OnClearance(clearance, now);
    Take(leader.Tick(now, now + DurationMs(1'000)));
  }

  void Run(DurationMs time) {
    for (const TimeMs end = now + time; now < end; now = now + DurationMs(10)) {
      Exchange();
      if (now.ms() % 100 == 0) Report();
    }
  }

  void Take(const CellActions& actions) {
    for (const CellAction& action : actions) {
      if (const auto* update = std::get_if<SendUpdate>(&action)) {
        client.OnUpdate(update->update, now);
      } else {
        Perform(std::get<SendOrder>(action).order);
      }
    }
  }

  void Perform(const EngineOrder& order) {
    orders.push_back(order);
    if (order.kind == OrderKind::kLoad) {
      resident.push_back(order.target);
    } else {
      std::erase(resident, order.target);
    }
    leader.OnOrderResult(OrderResult{kWorker, order.epoch, order.number,
                                     OrderStatus::kDone, instance},
                         now);
  }

  void Report() {
    EngineReport report;
    report.worker = kWorker;
    report.instance = instance;
    report.sequence = sequence = sequence.Next();
    report.slots = slots;
    report.batch_capacity = 4;
    for (const AdapterVersion& target : resident) {
      report.residents.push_back(ResidentReport{target, running});
    }
    leader.OnReport(report, now);
  }

  std::uint32_t slots;
  TimeMs now{10'000};
  CellLeader leader;
  ResidencyClient client;
  InstanceId instance{"i0"};
  Sequence sequence;
  std::uint32_t running = 0;
  std::vector<AdapterVersion> resident;
  std::vector<EngineOrder> orders;
  std::vector<AdapterVersion> ready;
};

}  // namespace

TEST_CASE("A wanted adapter is loaded and granted", "[cell]") {
  Pair pair;
  const auto waiter = pair.client.AddWaiter(
      kFirst, Priority::kNormal, pair.now + DurationMs(5'000), pair.now);
  REQUIRE(waiter);
  pair.Run(DurationMs(1'000));
  REQUIRE(pair.ready == std::vector<AdapterVersion>{kFirst});
  const auto placement = pair.client.TryAcquire(kFirst, pair.now);
  REQUIRE(placement);
  CHECK(placement->worker == kWorker);
  CHECK(pair.client.MaySend(placement->dispatch, pair.now));
  CHECK(pair.client.ConfirmAccepted(placement->dispatch, pair.now));
}

TEST_CASE("A slot in use is evicted only after its stream", "[cell]") {
  Pair pair;
  const TimeMs late = pair.now + DurationMs(60'000);
  const auto first =
      pair.client.AddWaiter(kFirst, Priority::kNormal, late, pair.now);
  pair.Run(DurationMs(1'000));
  const auto placement = pair.client.TryAcquire(kFirst, pair.now);
  REQUIRE(placement);
  pair.client.RemoveWaiter(*first);
  REQUIRE(pair.client.ConfirmAccepted(placement->dispatch, pair.now));
  pair.client.AddWaiter(kSecond, Priority::kNormal, late, pair.now);
  pair.Run(DurationMs(10'000));
  CHECK(pair.orders.size() == 1);
  CHECK_FALSE(pair.client.TryAcquire(kFirst, pair.now));
  pair.client.Release(placement->dispatch);
  pair.Run(DurationMs(1'000));
  REQUIRE(pair.orders.size() == 3);
  CHECK(pair.orders[1].kind == OrderKind::kEvict);
  CHECK(pair.ready == std::vector<AdapterVersion>{kSecond});
}

TEST_CASE("A restarted engine's slots are loaded again", "[cell]") {
  Pair pair;
  pair.client.AddWaiter(kFirst, Priority::kNormal,
                        pair.now + DurationMs(60'000), pair.now);
  pair.Run(DurationMs(1'000));
  pair.resident.clear();
  pair.instance = InstanceId("i1");
  pair.sequence = Sequence();
  pair.Run(DurationMs(1'000));
  CHECK(pair.orders.size() == 2);
  const auto placement = pair.client.TryAcquire(kFirst, pair.now);
  REQUIRE(placement);
  CHECK(placement->instance == pair.instance);
}

TEST_CASE("A worker that leaves the configuration gets nothing new", "[cell]") {
  Pair pair;
  pair.client.AddWaiter(kFirst, Priority::kNormal,
                        pair.now + DurationMs(60'000), pair.now);
  pair.Run(DurationMs(1'000));
  REQUIRE(pair.client.TryAcquire(kFirst, pair.now));
  CellConfig config = OneWorker();
  config.workers[0].id = WorkerId("other");
  pair.leader.OnConfig(config);
  pair.Run(DurationMs(1'000));
  CHECK_FALSE(pair.client.TryAcquire(kFirst, pair.now));
  CHECK(pair.orders.size() == 1);
  pair.leader.OnConfig(OneWorker());
  pair.Run(DurationMs(1'000));
  CHECK(pair.leader.state().workers[0].usable);
}

TEST_CASE("A session lapses at the gateway first", "[cell]") {
  Pair pair;
  pair.client.AddWaiter(kFirst, Priority::kNormal,
                        pair.now + DurationMs(60'000), pair.now);
  pair.Run(DurationMs(1'000));
  const auto sent = pair.client.TryAcquire(kFirst, pair.now);
  REQUIRE(sent);
  const TimeMs end = pair.client.SessionDeadline();
  CHECK(pair.client.MaySend(sent->dispatch, end - DurationMs(1)));
  CHECK_FALSE(pair.client.MaySend(sent->dispatch, end));
  CHECK_FALSE(pair.client.ConfirmAccepted(sent->dispatch, end));
  CHECK_FALSE(pair.client.TryAcquire(kFirst, end));
}

TEST_CASE("A victim that stays in use does not hold up other loads", "[cell]") {
  const AdapterVersion third{AdapterId("c"), VersionId("1")};
  const AdapterVersion fourth{AdapterId("d"), VersionId("1")};
  Pair pair(2);
  const auto load = [&pair](const AdapterVersion& target) {
    const auto waiter = pair.client.AddWaiter(target, Priority::kNormal,
                                              TimeMs::Never(), pair.now);
    pair.Run(DurationMs(2'000));
    return waiter.value();
  };
  pair.client.RemoveWaiter(load(kFirst));
  const auto in_use = pair.client.TryAcquire(kFirst, pair.now);
  REQUIRE(in_use);
  REQUIRE(pair.client.ConfirmAccepted(in_use->dispatch, pair.now));
  pair.client.RemoveWaiter(load(kSecond));
  // The policy takes the first slot for this one, which never drains.
  load(third);
  CHECK(pair.resident == std::vector{kFirst, kSecond});
  // The slot that is freed for another goes to the one that waits longer.
  load(fourth);
  CHECK(pair.resident == std::vector{kFirst, third});
}

}  // namespace yuccamoor
