/// \file
/// \brief Tests of the right to order engines without the store.

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
// The lease was renewed too long ago to order on.
const TimeMs kNow(5'000);

PeerReport WithoutStore() { return {}; }

PeerReport WithStore(Epoch holder, std::uint32_t nodes) {
  PeerReport sight;
  sight.store.fresh = true;
  sight.store.nodes = nodes;
  sight.store.holders[kEngine] = holder;
  return sight;
}

// A node that ticks and has heard both others just now.
OrderRight Heard(const PeerReport& other, const PeerReport& third) {
  OrderRight right(kSelf);
  right.OnTick(kNow);
  right.OnPeerReport(kOther, other, kNow);
  right.OnPeerReport(kThird, third, kNow);
  return right;
}

bool MayOrder(const OrderRight& right, TimeMs now = kNow) {
  return right.MayOrder(kRenewed, kHeld, kNodes, now);
}

}  // namespace

TEST_CASE("A lease that was renewed lately gives the right", "[fleet][right]") {
  const OrderRight right(kSelf);
  CHECK(right.MayOrder(TimeMs(0), kHeld, kNodes, TimeMs(1'499)));
  CHECK_FALSE(right.MayOrder(TimeMs(0), kHeld, kNodes, TimeMs(1'500)));
  CHECK_FALSE(right.MayOrder(std::nullopt, kHeld, kNodes, TimeMs(0)));
}

TEST_CASE("Without the store all others must have confirmed",
          "[fleet][right]") {
  CHECK(MayOrder(Heard(WithoutStore(), WithoutStore())));
  CHECK(MayOrder(Heard(WithStore(Epoch(7), 3), WithoutStore())));

  OrderRight one(kSelf);
  one.OnTick(kNow);
  one.OnPeerReport(kOther, WithoutStore(), kNow);
  CHECK_FALSE(MayOrder(one));
}

TEST_CASE("Any sign of another holder ends the right", "[fleet][right]") {
  // Its record is another one's.
  CHECK_FALSE(MayOrder(Heard(WithStore(Epoch(9), 3), WithoutStore())));
  // A node is registered that this one does not know: it may hold the engine.
  CHECK_FALSE(MayOrder(Heard(WithStore(Epoch(7), 4), WithoutStore())));
  PeerReport holder;
  holder.held.insert(kEngine);
  CHECK_FALSE(MayOrder(Heard(holder, WithoutStore())));
  PeerReport no_record = WithStore(Epoch(7), 3);
  no_record.store.holders.clear();
  CHECK_FALSE(MayOrder(Heard(no_record, WithoutStore())));
}

TEST_CASE("A confirmation is valid for a short time", "[fleet][right]") {
  OrderRight right = Heard(WithoutStore(), WithoutStore());
  right.OnTick(kNow + DurationMs(300));
  right.OnTick(kNow + DurationMs(600));
  CHECK(MayOrder(right, kNow + DurationMs(600)));
  CHECK_FALSE(MayOrder(right, kNow + DurationMs(601)));
}

TEST_CASE("What was said before a suspension confirms nothing",
          "[fleet][right]") {
  // The node stood still for 4 s. Its socket still has what the others said
  // when it began; meanwhile another one has taken the engine over.
  const TimeMs thawed = kNow + DurationMs(4'000);
  OrderRight right = Heard(WithoutStore(), WithoutStore());
  SECTION("datagrams are read first") {
    right.OnPeerReport(kOther, WithoutStore(), thawed);
    right.OnPeerReport(kThird, WithoutStore(), thawed);
    CHECK_FALSE(MayOrder(right, thawed));
    right.OnTick(thawed);
  }
  SECTION("the tick comes first") {
    right.OnTick(thawed);
    right.OnPeerReport(kOther, WithoutStore(), thawed);
    right.OnPeerReport(kThird, WithoutStore(), thawed);
  }
  CHECK_FALSE(MayOrder(right, thawed));
  const TimeMs later = thawed + DurationMs(250);
  right.OnTick(later);
  CHECK_FALSE(MayOrder(right, later));
  right.OnPeerReport(kOther, WithoutStore(), later);
  right.OnPeerReport(kThird, WithoutStore(), later);
  CHECK(MayOrder(right, later));
}

}  // namespace yuccamoor::fleet
