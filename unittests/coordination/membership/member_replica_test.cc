/// \file
/// \brief Tests of the replica of the members: one alone, and a whole fleet in
/// virtual time with a lossy network and a service that fails.

#include "yuccamoor/coordination/membership/member_replica.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "coordination/membership/member_fleet.h"

namespace yuccamoor {
namespace {

constexpr std::size_t kDesignMembers = 680;
constexpr double kBudgetBytesPerSecond = 3'000;
constexpr double kBudgetReadsPerSecond = 2'000;
/// 680 replacements a day.
constexpr DurationMs kBetweenReplacements(127'000);

KvReply ListOf(std::vector<KvEntry> entries) {
  KvReply reply;
  reply.status = KvStatus::kOk;
  reply.entries = std::move(entries);
  return reply;
}

bool Has(const MemberReplica& replica, const std::string& key) {
  const KvReply all = replica.Entries();
  return std::any_of(all.entries.begin(), all.entries.end(),
                     [&key](const KvEntry& e) { return e.key == key; });
}

}  // namespace

TEST_CASE("A list of members counts as of when its read was sent") {
  MemberReplica replica(MemberReplicaOptions{}, TimeMs(0));
  replica.OnList(ListOf({{"a", "1", KvVersion(1)}}), TimeMs(0), TimeMs(10));
  replica.OnExchange({0, {{"b", KvVersion(5), "1"}}}, TimeMs(100));

  SECTION("an earlier one removes nothing that was learnt since") {
    replica.OnList(ListOf({{"a", "1", KvVersion(1)}}), TimeMs(90), TimeMs(110));
    CHECK(Has(replica, "b"));
  }
  SECTION("a later one does") {
    replica.OnList(ListOf({{"a", "1", KvVersion(1)}}), TimeMs(101),
                   TimeMs(110));
    CHECK_FALSE(Has(replica, "b"));
    // A peer that has not heard of it does not bring it back.
    replica.OnExchange({0, {{"b", KvVersion(5), "1"}}}, TimeMs(120));
    CHECK_FALSE(Has(replica, "b"));
    replica.OnExchange({0, {{"b", KvVersion(6), "2"}}}, TimeMs(130));
    CHECK(Has(replica, "b"));
  }
  SECTION("a removal stands against an earlier one and falls by a later one") {
    replica.OnExchange({0, {{"a", KvVersion(1), ""}}}, TimeMs(200));
    replica.OnList(ListOf({{"a", "1", KvVersion(1)}}), TimeMs(190),
                   TimeMs(210));
    CHECK_FALSE(Has(replica, "a"));
    replica.OnList(ListOf({{"a", "1", KvVersion(1)}}), TimeMs(220),
                   TimeMs(230));
    CHECK(Has(replica, "a"));
  }
  SECTION("a removal of an earlier version removes nothing") {
    replica.OnExchange({0, {{"b", KvVersion(4), ""}}}, TimeMs(200));
    CHECK(Has(replica, "b"));
  }
}

TEST_CASE("Small lists of members are read every second") {
  MemberReplica replica(MemberReplicaOptions{}, TimeMs(0));
  const auto read_again = [&](std::size_t bytes, TimeMs now) {
    REQUIRE(replica.Tick(now).read);
    replica.OnList(ListOf({{"a", std::string(bytes, 'v'), KvVersion(1)}}), now,
                   now);
    return replica.Tick(now + DurationMs(1'000)).read;
  };
  CHECK(read_again(1'000, TimeMs(0)));
  CHECK_FALSE(read_again(100'000, TimeMs(10'000)));
}

TEST_CASE("A replica without a budget reads every second through an outage") {
  MemberReplicaOptions options;
  options.read_bytes_per_second.reset();
  MemberReplica replica(options, TimeMs(0));
  KvReply down;
  down.status = KvStatus::kUnavailable;
  for (TimeMs now(0); now < TimeMs(20'000); now = now + DurationMs(1'000)) {
    CAPTURE(now);
    REQUIRE(replica.Tick(now).read);
    replica.OnList(down, now, now);
  }
}

TEST_CASE("Members at the size to design for stay within the budget") {
  MemberFleet fleet(kDesignMembers, 1);
  fleet.RunFor(DurationMs(10'000));
  REQUIRE(fleet.Agree());
  fleet.ResetCounts();
  constexpr int kReplacements = 3;
  for (int i = 0; i < kReplacements; ++i) {
    fleet.Replace(static_cast<std::size_t>(i) * 7);
    fleet.RunFor(kBetweenReplacements);
    CHECK(fleet.Agree());
  }
  INFO("mean " << fleet.MeanBytesPerSecond() << " B/s, most "
               << fleet.MostBytesPerSecond() << " B/s, "
               << fleet.ReadsPerSecond() << " reads/s");
  CHECK(fleet.MostBytesPerSecond() <= kBudgetBytesPerSecond);
  CHECK(fleet.ReadsPerSecond() <= kBudgetReadsPerSecond);
}

TEST_CASE("Changes of members reach everyone through faults") {
  constexpr std::size_t kMembers = 60;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    MemberFleet fleet(kMembers, seed);
    fleet.RunFor(DurationMs(5'000));
    REQUIRE(fleet.Agree());
    fleet.set_loss(0.2);
    // One that hears nothing for long comes back with what it knew.
    fleet.SetFrozen(3, true);
    fleet.Replace(10);
    fleet.set_service_down(true);
    fleet.RunFor(DurationMs(60'000));
    CHECK(fleet.AgreeBut(3));
    fleet.SetFrozen(3, false);
    fleet.RunFor(DurationMs(1'000));
    fleet.set_service_down(false);
    fleet.Replace(20);
    fleet.RunFor(DurationMs(120'000));
    CHECK(fleet.Agree());
  }
}

}  // namespace yuccamoor
