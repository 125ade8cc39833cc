/// \file
/// \brief At most once over random schedules: several gateways, kills, pauses,
/// false reports of death, outages, lost answers, late writes, duplicated
/// messages, and repeats anywhere.

#include <catch2/catch.hpp>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "coordination/request/schedule_gateway.h"

namespace yuccamoor {
namespace {

constexpr std::size_t kGateways = 3;
constexpr std::uint32_t kKeys = 8;
constexpr std::uint32_t kChaosMs = 8'000;
constexpr TimeMs kCalm{kChaosMs + 4'000};
constexpr TimeMs kEnd{kChaosMs + 20'000};

/// One schedule. Every life of every gateway is kept, since a paused one may
/// wake after its successor has started.
class Schedule {
 public:
  Schedule(std::uint64_t seed, PlantedFault fault) : m_world(seed, fault) {
    Timeline& timeline = m_world.timeline;
    m_world.kv.SetFaults(timeline.Share() * 0.3);
    m_world.endpoint_faults = timeline.Share() * 0.5;
    for (std::size_t i = 0; i < kGateways; ++i) Start(i);
    for (std::uint32_t k = 0; k < kKeys; ++k) PlanKey(k);
    const std::uint32_t events = timeline.Below(8);
    for (std::uint32_t i = 0; i < events; ++i) PlanFault();
    timeline.At(kCalm, [this] { Calm(); });
  }

  const ScheduleLedger& Run() {
    m_world.timeline.RunUntil(kEnd);
    for (const auto& life : m_lives) {
      if (!life->dead() && !life->Idle()) m_world.ledger.OnUnended();
    }
    return m_world.ledger;
  }

 private:
  void Start(std::size_t slot) {
    if (m_current.size() <= slot) m_current.resize(slot + 1);
    const ShardOwner owner{NodeId("g" + std::to_string(slot)),
                           Incarnation(m_lives.size() + 1),
                           m_world.timeline.Below(1'000'000)};
    m_lives.push_back(std::make_unique<ScheduleGateway>(m_world, owner));
    m_current[slot] = m_lives.back().get();
  }

  ScheduleGateway& Any() {
    return *m_current[m_world.timeline.Below(kGateways)];
  }

  void PlanKey(std::uint32_t number) {
    Timeline& timeline = m_world.timeline;
    const IdempotencyKey key("key" + std::to_string(number));
    const TimeMs first = timeline.now() + timeline.Delay(kChaosMs);
    const std::uint32_t sendings = 1 + timeline.Below(5);
    for (std::uint32_t i = 0; i < sendings; ++i) {
      const DurationMs ago = timeline.Delay(i == 0 ? 0 : 4'000);
      const RequestId request(key.str() + "/" + std::to_string(i));
      // Now and then a client forgets to say that it repeats.
      const bool repeat = i > 0 && !timeline.Chance(0.1);
      const std::uint64_t hash = timeline.Chance(0.05) ? 2 : 1;
      const Sending sending{request, key, repeat};
      timeline.At(first + ago, [this, sending, hash, ago] {
        Any().Arrive(sending, hash, ago);
      });
    }
    // Once all is calm, everyone asks again.
    const Sending last{RequestId(key.str() + "/last"), key, true};
    timeline.At(kCalm + DurationMs(6'000),
                [this, last] { Any().Arrive(last, 1, DurationMs(kChaosMs)); });
  }

  void PlanFault() {
    Timeline& timeline = m_world.timeline;
    const TimeMs when = timeline.now() + timeline.Delay(kChaosMs);
    const std::uint32_t kind = timeline.Below(10);
    const std::size_t slot = timeline.Below(kGateways);
    const DurationMs length = timeline.Delay(4'000);
    timeline.At(when, [this, kind, slot, length] {
      if (kind < 4) return m_current[slot]->Pause(length);
      if (kind < 7) return Replace(slot);
      if (kind < 8) return KillAll();
      m_world.kv.SetOutage(true);
      m_world.timeline.After(length, [this] { m_world.kv.SetOutage(false); });
    });
  }

  /// Starts a successor. The old life is dead or, wrongly, only thought to be.
  void Replace(std::size_t slot) {
    const NodeId node("g" + std::to_string(slot));
    if (m_world.timeline.Chance(0.3)) {
      m_current[slot]->Pause(m_world.timeline.Delay(3'000));
    } else {
      m_current[slot]->Kill();
    }
    const Incarnation up_to(m_lives.size());
    Start(slot);
    if (m_world.timeline.Chance(0.5)) return;
    for (ScheduleGateway* gateway : m_current)
      gateway->OnOwnerGone(node, up_to);
  }

  void KillAll() {
    for (std::size_t slot = 0; slot < kGateways; ++slot) {
      m_current[slot]->Kill();
      Start(slot);
    }
  }

  void Calm() {
    m_world.kv.SetFaults(0);
    m_world.kv.SetOutage(false);
    m_world.endpoint_faults = 0;
  }

  ScheduleWorld m_world;
  std::vector<std::unique_ptr<ScheduleGateway>> m_lives;
  std::vector<ScheduleGateway*> m_current;
};

}  // namespace

TEST_CASE("Random schedules keep every promise", "[schedule]") {
  constexpr std::uint64_t kSchedules = 10'000;
  ScheduleTotals totals;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    Schedule schedule(seed, PlantedFault::kNone);
    const ScheduleLedger& ledger = schedule.Run();
    if (!ledger.violations().empty()) {
      FAIL_CHECK("seed " << seed << ": " << ledger.violations().front());
    }
    totals.runs += ledger.totals().runs;
    totals.answered += ledger.totals().answered;
    totals.replayed += ledger.totals().replayed;
    totals.not_run += ledger.totals().not_run;
    totals.unknown += ledger.totals().unknown;
    totals.unended += ledger.totals().unended;
  }
  std::cout << kSchedules << " schedules: " << totals.runs << " runs, "
            << totals.answered << " answered, " << totals.replayed
            << " replayed, " << totals.not_run << " not run, " << totals.unknown
            << " unknown\n";
  CHECK(totals.unended == 0);
  CHECK(totals.answered > kSchedules);
  CHECK(totals.replayed > kSchedules);
  CHECK(totals.not_run > kSchedules / 100);
  CHECK(totals.unknown > kSchedules / 10);
}

TEST_CASE("Planted faults are found by the random schedules", "[schedule]") {
  struct Case {
    const char* name;
    PlantedFault fault;
  };
  const Case cases[] = {
      {"dispatch before commit", PlantedFault::kDispatchBeforeCommit},
      {"retry after a lost answer", PlantedFault::kRetryAfterLostAnswer},
      {"key by connection", PlantedFault::kKeyByConnection},
      {"lease as guard", PlantedFault::kLeaseAsGuard},
      {"lost write assumed done", PlantedFault::kLostWriteAssumedDone},
      {"owners that compare equal", PlantedFault::kOwnersAlike},
      {"lost answer told as not run", PlantedFault::kLostAnswerToldNotRun},
      {"answer of another key", PlantedFault::kAnswerOfAnotherKey},
      {"segments forgotten", PlantedFault::kSegmentsForgotten},
  };
  constexpr std::uint64_t kSchedules = 300;
  for (const Case& c : cases) {
    INFO(c.name);
    bool found = false;
    for (std::uint64_t seed = 1; seed <= kSchedules && !found; ++seed) {
      Schedule schedule(seed, c.fault);
      found = !schedule.Run().violations().empty();
    }
    CHECK(found);
  }
}

}  // namespace yuccamoor
