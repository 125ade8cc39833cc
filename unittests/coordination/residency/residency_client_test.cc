/// \file
/// \brief Tests of the residency client against late, repeated and reordered
/// updates.

#include "yuccamoor/coordination/residency/residency_client.h"

#include <catch2/catch.hpp>
#include <functional>
#include <string>

namespace yuccamoor {
namespace {

const AdapterVersion kTarget{AdapterId("a"), VersionId("1")};
const LeaseNumber kLease(7);
const Epoch kEpoch(3);

/// A client that waits for one target and has sent its first sync.
struct Fixture {
  Fixture() {
    client.OnLeader(kEpoch);
    client.AddWaiter(kTarget, Priority::kNormal, now + DurationMs(60'000), now);
    Sync();
  }

  /// Moves on until the client sends a sync.
  ResidencySync Sync() {
    for (;;) {
      now = now + DurationMs(20);
      const ResidencyTick tick = client.Tick(now);
      if (!tick.sync) continue;
      last = tick.sync->sequence;
      return *tick.sync;
    }
  }

  ResidencyUpdate Update(Sequence acknowledged) const {
    ResidencyUpdate update;
    update.cell = CellId("cell");
    update.epoch = kEpoch;
    update.gateway = NodeId("gateway");
    update.incarnation = Incarnation(2);
    update.acknowledged = acknowledged;
    update.session_ttl = DurationMs(10'000);
    return update;
  }

  ResidencyUpdate Grant(Sequence acknowledged) const {
    ResidencyUpdate update = Update(acknowledged);
    ResidencyGrant grant;
    grant.lease = kLease;
    grant.target = kTarget;
    grant.worker = WorkerId("w");
    grant.credit = 2;
    update.grants.push_back(grant);
    return update;
  }

  bool CanSend() {
    const auto placement = client.TryAcquire(kTarget, now);
    if (placement) client.Release(placement->dispatch);
    return placement.has_value();
  }

  TimeMs now{1'000};
  ResidencyClient client{
      ResidencyClient::Create(ResidencyClientOptions{CellId("cell"),
                                                     NodeId("gateway"),
                                                     Incarnation(2)})
          .value()};
  Sequence last;
};

struct Row {
  std::string name;
  std::function<void(Fixture&)> messages;
  bool can_send;
};

void Recall(Fixture& f) {
  ResidencyUpdate update = f.Update(f.last);
  update.recalls.push_back(kLease);
  f.client.OnUpdate(update, f.now);
}

}  // namespace

TEST_CASE("Only a grant in force lets a request go", "[residency]") {
  const Row row = GENERATE(
      Row{"none", [](Fixture&) {}, false},
      Row{"granted",
          [](Fixture& f) { f.client.OnUpdate(f.Grant(f.last), f.now); }, true},
      Row{"granted twice",
          [](Fixture& f) {
            f.client.OnUpdate(f.Grant(f.last), f.now);
            f.client.OnUpdate(f.Grant(f.last), f.now);
          },
          true},
      Row{"of another life",
          [](Fixture& f) {
            ResidencyUpdate update = f.Grant(f.last);
            update.incarnation = Incarnation(1);
            f.client.OnUpdate(update, f.now);
          },
          false},
      Row{"of an old leader",
          [](Fixture& f) {
            ResidencyUpdate update = f.Grant(f.last);
            update.epoch = Epoch(2);
            f.client.OnUpdate(update, f.now);
          },
          false},
      Row{"of a new leader that has not had the full sync",
          [](Fixture& f) {
            ResidencyUpdate update = f.Grant(f.last);
            update.epoch = Epoch(4);
            f.client.OnUpdate(update, f.now);
          },
          false},
      Row{"for a sync never sent",
          [](Fixture& f) { f.client.OnUpdate(f.Grant(Sequence(99)), f.now); },
          false},
      Row{"recalled",
          [](Fixture& f) {
            f.client.OnUpdate(f.Grant(f.last), f.now);
            Recall(f);
          },
          false},
      Row{"recalled, then the grant comes late",
          [](Fixture& f) {
            Recall(f);
            f.client.OnUpdate(f.Grant(f.last), f.now);
          },
          false},
      Row{"given back, then the grant comes late",
          [](Fixture& f) {
            const ResidencyUpdate late = f.Grant(f.last);
            f.client.OnUpdate(late, f.now);
            Recall(f);
            CHECK(f.Sync().returns.size() == 1);
            f.client.OnUpdate(f.Update(f.last), f.now);
            CHECK(f.Sync().returns.empty());
            f.client.OnUpdate(late, f.now);
          },
          false},
      Row{"before a lapse",
          [](Fixture& f) {
            f.client.OnUpdate(f.Grant(f.last), f.now);
            f.now = f.client.SessionDeadline();
          },
          false},
      Row{"before a lapse, and not again after it",
          [](Fixture& f) {
            f.client.OnUpdate(f.Grant(f.last), f.now);
            f.now = f.client.SessionDeadline();
            CHECK(f.Sync().full);
            f.client.OnUpdate(f.Update(f.last), f.now);
          },
          false},
      Row{"before a resync",
          [](Fixture& f) {
            f.client.OnUpdate(f.Grant(f.last), f.now);
            ResidencyUpdate update = f.Update(f.last);
            update.resync = true;
            f.client.OnUpdate(update, f.now);
            const ResidencySync sync = f.Sync();
            CHECK(sync.full);
            CHECK(sync.holdings.size() == 1);
          },
          true});
  INFO(row.name);
  Fixture fixture;
  row.messages(fixture);
  CHECK(fixture.CanSend() == row.can_send);
}

TEST_CASE("Credit bounds what runs, and requests of a prefix stay together",
          "[residency]") {
  Fixture f;
  ResidencyUpdate update = f.Grant(f.last);
  update.grants.push_back(update.grants[0]);
  update.grants[1].lease = LeaseNumber(8);
  update.grants[1].worker = WorkerId("w2");
  f.client.OnUpdate(update, f.now);
  constexpr std::uint64_t kPrefix = 5;
  const auto first = f.client.TryAcquire(kTarget, f.now, kPrefix);
  const auto second = f.client.TryAcquire(kTarget, f.now, kPrefix);
  REQUIRE((first && second));
  CHECK(first->worker == second->worker);
  CHECK(f.client.TryAcquire(kTarget, f.now));
  CHECK(f.client.TryAcquire(kTarget, f.now));
  CHECK_FALSE(f.client.TryAcquire(kTarget, f.now));
  f.client.Release(first->dispatch);
  CHECK(f.client.TryAcquire(kTarget, f.now, kPrefix));
}

TEST_CASE("A not resident target's grant is given back", "[residency]") {
  Fixture f;
  f.client.OnUpdate(f.Grant(f.last), f.now);
  const auto placement = f.client.TryAcquire(kTarget, f.now);
  REQUIRE(placement);
  f.client.OnNotResident(placement->dispatch);
  CHECK_FALSE(f.client.TryAcquire(kTarget, f.now));
  CHECK(f.Sync().returns.empty());
  f.client.Release(placement->dispatch);
  CHECK(f.Sync().returns == std::vector<LeaseNumber>{kLease});
}

TEST_CASE("A stream goes on only on the engine life that holds it",
          "[residency]") {
  Fixture f;
  ResidencyUpdate update = f.Grant(f.last);
  update.grants.push_back(update.grants[0]);
  update.grants[1].lease = LeaseNumber(8);
  update.grants[1].worker = WorkerId("w2");
  update.grants[1].instance = InstanceId("w2-1");
  f.client.OnUpdate(update, f.now);
  const EnginePin pin{WorkerId("w2"), InstanceId("w2-1")};
  const EnginePin earlier{WorkerId("w2"), InstanceId("w2-0")};
  for (int i = 0; i < 2; ++i) {
    const auto placement = f.client.TryAcquireOn(kTarget, pin, f.now);
    REQUIRE(placement);
    CHECK(placement->worker == pin.worker);
  }
  // The other worker has credit, but not this stream.
  CHECK_FALSE(f.client.TryAcquireOn(kTarget, pin, f.now));
  CHECK_FALSE(f.client.HasRestarted(kTarget, pin));
  CHECK_FALSE(f.client.TryAcquireOn(kTarget, earlier, f.now));
  CHECK(f.client.HasRestarted(kTarget, earlier));
}

}  // namespace yuccamoor
