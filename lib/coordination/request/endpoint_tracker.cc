/// \file
/// \brief Which endpoints may receive new work.

#include "yuccamoor/coordination/request/endpoint_tracker.h"

#include <algorithm>
#include <utility>

namespace yuccamoor {

EndpointTracker::EndpointTracker(const EndpointTrackerOptions& options)
    : m_options(options) {}

void EndpointTracker::Note(const VmId& vm, TimeMs first, TimeMs confirmed) {
  const auto found = m_leaving.find(vm);
  if (found != m_leaving.end()) {
    found->second.first = std::min(found->second.first, first);
    found->second.confirmed = std::max(found->second.confirmed, confirmed);
    return;
  }
  if (m_leaving.size() >= m_options.max_leaving) return;
  m_leaving.emplace(vm, Leaving{first, confirmed});
  m_changed = true;
}

void EndpointTracker::OnVmList(const std::vector<VmEntry>& list, TimeMs now) {
  std::map<VmId, bool> listed;
  for (const VmEntry& entry : list) {
    listed.emplace(entry.id, entry.leaving);
    if (entry.leaving) Note(entry.id, now, now);
  }
  for (const auto& [vm, leaving] : m_listed) {
    if (!listed.contains(vm)) Note(vm, now, now);
  }
  m_listed = std::move(listed);
}

void EndpointTracker::OnLeavingAnswer(const VmId& vm, TimeMs now) {
  Note(vm, now, now);
}

void EndpointTracker::OnGossip(const LeavingGossip& gossip, TimeMs now) {
  for (const LeavingVm& entry : gossip.leaving) {
    // Word that travels in circles must not keep itself alive: its age counts
    // on from the first time that anyone had it.
    if (entry.age >= m_options.forget_after) continue;
    Note(entry.vm, now - entry.age, now - entry.age);
  }
}

void EndpointTracker::Tick(TimeMs now) {
  std::erase_if(m_leaving, [&](const auto& item) {
    return now - item.second.confirmed >= m_options.forget_after;
  });
}

bool EndpointTracker::TakeChanged() { return std::exchange(m_changed, false); }

LeavingGossip EndpointTracker::Gossip(const NodeId& self, TimeMs now) const {
  LeavingGossip gossip;
  gossip.from = self;
  for (const auto& [vm, leaving] : m_leaving) {
    gossip.leaving.push_back({vm, now - leaving.confirmed});
  }
  return gossip;
}

}  // namespace yuccamoor
