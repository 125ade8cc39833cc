/// \file
/// \brief Tests of the right to order engines while the store is unreachable.

#include "yuccamoor/coordination/fleet/order_right.h"

#include <catch2/catch.hpp>

namespace yuccamoor::fleet {
namespace {

const NodeId kSelf("n1");
const NodeId kOther("n2");
const NodeId kThird("n3");
const EndpointId kEngine("e1");
const std::map<EndpointId, Epoch> kHeld{{kEngine, Epoch(7)}};
const std::set<NodeId> kNodes{kSelf, kOther, kThird};
const TimeMs kRenewed(0);
// By this time the lease renewal is too old to give the right.
const TimeMs kNow(5'000);
constexpr DurationMs kSeparation{3'000};

PeerReport WithoutStore() { return {}; }

PeerReport WithStore(Epoch holder, std::uint32_t nodes) {
  PeerReport report;
  report.store.fresh = true;
  report.store.nodes = nodes;
  report.store.holders[kEngine] = holder;
  return report;
}

// Returns the state of a node that had the right until a moment ago, has just
// ticked, and received reports from both other nodes.
OrderRight WithReports(const PeerReport& other, const PeerReport& third) {
  OrderRight right(kSelf, kSeparation);
  right.OnRight(kNow - DurationMs(20));
  right.OnTick(kNow);
  right.OnPeerReport(kOther, other, kNow);
  right.OnPeerReport(kThird, third, kNow);
  return right;
}

bool MayOrder(const OrderRight& right, TimeMs now = kNow) {
  return right.MayOrder(kRenewed, kHeld, kNodes, {}, now);
}

}  // namespace

TEST_CASE("A lease that was renewed lately gives the right", "[fleet][right]") {
  const OrderRight right(kSelf, kSeparation);
  CHECK(right.MayOrder(TimeMs(0), kHeld, kNodes, {}, TimeMs(1'499)));
  CHECK_FALSE(right.MayOrder(TimeMs(0), kHeld, kNodes, {}, TimeMs(1'500)));
  CHECK_FALSE(right.MayOrder(std::nullopt, kHeld, kNodes, {}, TimeMs(0)));
}

TEST_CASE("Without the store all others must have confirmed",
          "[fleet][right]") {
  CHECK(MayOrder(WithReports(WithoutStore(), WithoutStore())));
  CHECK(MayOrder(WithReports(WithStore(Epoch(7), 3), WithoutStore())));

  OrderRight one(kSelf, kSeparation);
  one.OnRight(kNow);
  one.OnTick(kNow);
  one.OnPeerReport(kOther, WithoutStore(), kNow);
  CHECK_FALSE(MayOrder(one));
}

TEST_CASE("Any sign of another holder ends the right", "[fleet][right]") {
  // The record names another holder's fencing number.
  CHECK_FALSE(MayOrder(WithReports(WithStore(Epoch(9), 3), WithoutStore())));
  // A node that this one does not know is registered and may hold the engine.
  CHECK_FALSE(MayOrder(WithReports(WithStore(Epoch(7), 4), WithoutStore())));
  PeerReport holder;
  holder.held.insert(kEngine);
  CHECK_FALSE(MayOrder(WithReports(holder, WithoutStore())));
  PeerReport no_record = WithStore(Epoch(7), 3);
  no_record.store.holders.clear();
  CHECK_FALSE(MayOrder(WithReports(no_record, WithoutStore())));
}

TEST_CASE("A confirmation is valid for a short time", "[fleet][right]") {
  OrderRight right = WithReports(WithoutStore(), WithoutStore());
  right.OnTick(kNow + DurationMs(300));
  right.OnTick(kNow + DurationMs(600));
  CHECK(MayOrder(right, kNow + DurationMs(600)));
  CHECK_FALSE(MayOrder(right, kNow + DurationMs(601)));
}

TEST_CASE("What was said before a suspension confirms nothing",
          "[fleet][right]") {
  // The VM was suspended for 2 s. Its socket still holds reports sent when the
  // suspension began; since then another node has taken over the engine.
  const TimeMs resumed = kNow + DurationMs(2'000);
  OrderRight right = WithReports(WithoutStore(), WithoutStore());
  SECTION("datagrams are read first") {
    right.OnPeerReport(kOther, WithoutStore(), resumed);
    right.OnPeerReport(kThird, WithoutStore(), resumed);
    CHECK_FALSE(MayOrder(right, resumed));
    right.OnTick(resumed);
  }
  SECTION("the tick comes first") {
    right.OnTick(resumed);
    right.OnPeerReport(kOther, WithoutStore(), resumed);
    right.OnPeerReport(kThird, WithoutStore(), resumed);
  }
  CHECK_FALSE(MayOrder(right, resumed));
  const TimeMs later = resumed + DurationMs(250);
  right.OnTick(later);
  CHECK_FALSE(MayOrder(right, later));
  right.OnPeerReport(kOther, WithoutStore(), later);
  right.OnPeerReport(kThird, WithoutStore(), later);
  CHECK(MayOrder(right, later));
}

// A node that was cut off, while another one held its engine and lost it again
// in a restore, went on as soon as the others had no word of the store either.
TEST_CASE("Nodes without the store bring back no right that has lapsed",
          "[fleet][right]") {
  const TimeMs later = kNow + DurationMs(3'000);
  const auto hear = [](OrderRight& right, const PeerReport& third, TimeMs now) {
    right.OnTick(now);
    right.OnPeerReport(kOther, WithoutStore(), now);
    right.OnPeerReport(kThird, third, now);
    return MayOrder(right, now);
  };
  OrderRight right(kSelf, kSeparation);
  right.OnRight(kNow);
  SECTION("the other nodes said that it held the engine no more") {
    PeerReport holder;
    holder.held.insert(kEngine);
    for (TimeMs now = kNow; now < later; now = now + DurationMs(250)) {
      CHECK_FALSE(hear(right, holder, now));
    }
  }
  SECTION("the VM was suspended") {
    right.OnTick(kNow);
    right.OnTick(later - DurationMs(250));
  }
  CHECK_FALSE(hear(right, WithoutStore(), later));
  // The record has stood all along.
  CHECK(hear(right, WithStore(Epoch(7), 3), later));
}

// A node whose copy of the store named itself alone went on without any other's
// word, while those that had registered again took its engine over.
TEST_CASE("Nodes whose records have gone a moment ago are asked as well",
          "[fleet][right]") {
  OrderRight right(kSelf, kSeparation);
  right.OnRight(kNow);
  right.OnTick(kNow);
  const std::set<NodeId> nodes{kSelf};
  const std::set<NodeId> gone{kOther};
  CHECK_FALSE(right.MayOrder(kRenewed, kHeld, nodes, gone, kNow));
  right.OnPeerReport(kOther, WithoutStore(), kNow);
  CHECK(right.MayOrder(kRenewed, kHeld, nodes, gone, kNow));
  right.OnPeerReport(kOther, WithStore(Epoch(7), 2), kNow);
  CHECK_FALSE(right.MayOrder(kRenewed, kHeld, nodes, gone, kNow));
}

}  // namespace yuccamoor::fleet
