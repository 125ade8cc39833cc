#include "yuccamoor/coordination/fleet/order_starts.h"

#include "yuccamoor/coordination/fleet/order_right.h"

namespace yuccamoor::fleet {

namespace {

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
  OrderStart start{fence, now, ReasonFor(engine, evidence, now)};
  // The holder before may have ordered until its own validity ended. Nobody
  // else has held the engine since this node's record was written.
  if (start.reason == OrderStartReason::kMayHaveHadHolder) {
    start.from =
        now + OrderRight::kLeaseValidity + m_separation + kHolderMargin;
  }
  m_starts[engine] = start;
  return start;
}

OrderStartReason OrderStarts::ReasonFor(const EndpointId& engine,
                                        const HolderEvidence& evidence,
                                        TimeMs now) const {
  if (evidence.never_held) return OrderStartReason::kNeverHeld;
  if (evidence.earlier_process) return OrderStartReason::kEarlierProcess;
  if (WasOrderedLately(engine, now)) return OrderStartReason::kOrderedLately;
  return OrderStartReason::kMayHaveHadHolder;
}

void OrderStarts::OnOrdering(const EndpointId& engine, TimeMs now) {
  m_ordered_at[engine] = now;
}

void OrderStarts::RetainOnly(
    const std::map<EndpointId, HolderRecord>& holders) {
  std::erase_if(m_starts, [&holders](const auto& item) {
    const auto record = holders.find(item.first);
    return record == holders.end() || record->second.fence != item.second.fence;
  });
}

bool OrderStarts::WasOrderedLately(const EndpointId& engine, TimeMs now) const {
  const auto ordered = m_ordered_at.find(engine);
  return ordered != m_ordered_at.end() && now - ordered->second < m_separation;
}

std::set<EndpointId> OrderStarts::OrderedLately(TimeMs now) const {
  std::set<EndpointId> engines;
  for (const auto& [engine, ordered] : m_ordered_at) {
    if (WasOrderedLately(engine, now)) engines.insert(engine);
  }
  return engines;
}

}  // namespace yuccamoor::fleet
