#include "yuccamoor/coordination/fleet/order_starts.h"

#include "yuccamoor/coordination/fleet/order_right.h"

namespace yuccamoor::fleet {

namespace {

// The last order of the holder before may still be on its way.
constexpr DurationMs kHolderMargin{150};

}  // namespace

const char* ToText(OrderStartReason reason) {
  switch (reason) {
    case OrderStartReason::kMayHaveHadHolder:
      return "may_have_had_holder";
    case OrderStartReason::kNeverHeld:
      return "never_held";
    case OrderStartReason::kOrderedLately:
      return "ordered_lately";
    case OrderStartReason::kEarlierProcess:
      return "earlier_process";
  }
  return "unknown";
}

OrderStart OrderStarts::TakeUp(const EndpointId& engine, Epoch fence,
                               const HolderEvidence& evidence, TimeMs now) {
  const auto known = m_starts.find(engine);
  if (known != m_starts.end() && known->second.fence == fence) {
    return known->second;
  }
  OrderStart start{fence, now, ReasonFor(engine, fence, evidence, now)};
  if (start.reason == OrderStartReason::kMayHaveHadHolder) {
    start.from = now + Wait();
  }
  m_starts[engine] = start;
  return start;
}

// The holder before may have ordered until its own validity ended. Nobody else
// has held the engine since this node's record was written.
DurationMs OrderStarts::Wait() const {
  return OrderRight::kLeaseValidity + m_separation + kHolderMargin;
}

OrderStartReason OrderStarts::ReasonFor(const EndpointId& engine, Epoch fence,
                                        const HolderEvidence& evidence,
                                        TimeMs now) const {
  if (evidence.never_held) return OrderStartReason::kNeverHeld;
  if (evidence.earlier_process) return OrderStartReason::kEarlierProcess;
  const auto last = m_ordered.find(engine);
  if (last != m_ordered.end() && GoesOn(last->second, fence, now)) {
    return OrderStartReason::kOrderedLately;
  }
  return OrderStartReason::kMayHaveHadHolder;
}

// Another node's claim may have come up to a lease's validity before the last
// moment of this node's right. After a restore, that node goes on until its own
// validity ends, so that its first order must not fall before that.
bool OrderStarts::GoesOn(const LastOrdered& last, Epoch fence,
                         TimeMs now) const {
  const bool restored = EraOf(fence) != EraOf(last.fence);
  const DurationMs most =
      restored ? Wait() - OrderRight::kLeaseValidity * 2 : m_separation;
  return now - last.at < most;
}

void OrderStarts::OnOrdering(const EndpointId& engine, Epoch fence,
                             TimeMs now) {
  m_ordered[engine] = {fence, now};
}

void OrderStarts::RetainOnly(
    const std::map<EndpointId, HolderRecord>& holders) {
  std::erase_if(m_starts, [&holders](const auto& item) {
    const auto record = holders.find(item.first);
    return record == holders.end() || record->second.fence != item.second.fence;
  });
}

std::set<EndpointId> OrderStarts::OrderedLately(TimeMs now) const {
  std::set<EndpointId> engines;
  for (const auto& [engine, last] : m_ordered) {
    if (GoesOn(last, last.fence, now)) engines.insert(engine);
  }
  return engines;
}

}  // namespace yuccamoor::fleet
