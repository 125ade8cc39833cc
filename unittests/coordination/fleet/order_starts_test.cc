/// \file
/// \brief Tests of when a holder may begin to order an engine.

#include "yuccamoor/coordination/fleet/order_starts.h"

#include <catch2/catch.hpp>

namespace yuccamoor::fleet {
namespace {

const EndpointId kEngine("e1");
constexpr DurationMs kSeparation{3'000};
constexpr DurationMs kWait{4'650};
// After a restore, a node that claimed the engine 1.5 s before this one's last
// right, and waits 4.65 s, orders from here on; its right may last 1.5 s.
constexpr DurationMs kGoesOnAfterRestore{1'650};
const TimeMs kOrdered(10'000);
const Epoch kFence = FencingNumber(StoreEra(1), Revision(9));
const Epoch kClaimedAnew = FencingNumber(StoreEra(1), Revision(20));
const Epoch kRestored = FencingNumber(StoreEra(2), Revision(9));

// The starts of a node that has just ordered the engine.
OrderStarts Ordered() {
  OrderStarts starts(kSeparation);
  starts.OnOrdering(kEngine, kFence, kOrdered);
  return starts;
}

}  // namespace

TEST_CASE("A node that ordered an engine a moment ago goes on",
          "[fleet][starts]") {
  OrderStarts starts = Ordered();
  const TimeMs now = kOrdered + kSeparation - DurationMs(1);
  const OrderStart start = starts.TakeUp(kEngine, kClaimedAnew, {}, now);
  CHECK(start.from == now);
  CHECK(start.reason == OrderStartReason::kOrderedLately);
}

// Another node could take the engine over, and order it by its last renewal
// just after the store had been restored from a copy that names this node.
TEST_CASE("After a restore a node goes on for a shorter time",
          "[fleet][starts][restore]") {
  OrderStarts starts = Ordered();
  const TimeMs last = kOrdered + kGoesOnAfterRestore - DurationMs(1);
  SECTION("in that time") {
    CHECK(starts.TakeUp(kEngine, kRestored, {}, last).from == last);
  }
  SECTION("later") {
    const TimeMs late = last + DurationMs(1);
    CHECK(starts.TakeUp(kEngine, kRestored, {}, late).from == late + kWait);
  }
}

// A node went on with an engine although it had seen another holder's record.
TEST_CASE("A node that has seen another holder waits", "[fleet][starts]") {
  OrderStarts starts = Ordered();
  starts.OnOtherHolder(kEngine);
  const TimeMs now = kOrdered + DurationMs(1'000);
  CHECK(starts.OrderedLately(now).empty());
  CHECK(starts.TakeUp(kEngine, kClaimedAnew, {}, now).from == now + kWait);
}

}  // namespace yuccamoor::fleet
