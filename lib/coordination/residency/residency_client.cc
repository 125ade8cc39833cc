/// \file
/// \brief A gateway's grants: which requests may run under them, and when.

#include "yuccamoor/coordination/residency/residency_client.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace yuccamoor {
namespace {

/// How much busier than the idlest replica the preferred one may be.
constexpr std::uint32_t kAffinitySlack = 2;

std::size_t AffinityIndex(std::uint64_t prefix_key, std::size_t replicas) {
  return static_cast<std::size_t>(prefix_key % replicas);
}

}  // namespace

Result<ResidencyClient> ResidencyClient::Create(
    ResidencyClientOptions options) {
  Findings findings;
  Place place;
  place.source = "residency client options";
  if (options.cell.empty()) findings.Add(place, "the cell has no name");
  if (options.gateway.empty()) findings.Add(place, "the gateway has no name");
  if (options.margin <= DurationMs(0)) {
    findings.Add(place, "the margin is not positive");
  }
  if (!findings.empty()) return findings;
  return ResidencyClient(std::move(options));
}

ResidencyClient::ResidencyClient(ResidencyClientOptions options)
    : m_options(std::move(options)) {}

std::optional<WaiterId> ResidencyClient::AddWaiter(const AdapterVersion& target,
                                                   Priority priority,
                                                   TimeMs deadline,
                                                   TimeMs now) {
  if (m_waiters.size() >= m_options.max_waiters) return std::nullopt;
  m_last_waiter = m_last_waiter.Next();
  m_waiters[m_last_waiter] = Waiter{target, priority, now, deadline};
  ++m_waiting[target];
  m_changed = true;
  return m_last_waiter;
}

void ResidencyClient::RemoveWaiter(WaiterId waiter) {
  const auto it = m_waiters.find(waiter);
  if (it == m_waiters.end()) return;
  const auto waiting = m_waiting.find(it->second.target);
  assert(waiting != m_waiting.end() && "every waiter is counted");
  if (--waiting->second == 0) {
    m_waiting.erase(waiting);
    m_changed = true;
  }
  m_waiters.erase(it);
}

bool ResidencyClient::HasCredit(const AdapterVersion& target,
                                TimeMs now) const {
  if (m_lapsed || now >= m_deadline) return false;
  const auto leases = m_by_target.find(target);
  if (leases == m_by_target.end()) return false;
  return std::any_of(leases->second.begin(), leases->second.end(),
                     [&](LeaseNumber lease) {
                       const Grant& grant = m_grants.at(lease);
                       return grant.Open();
                     });
}

ResidencyClient::Grant* ResidencyClient::PickGrant(const AdapterVersion& target,
                                                   std::uint64_t prefix_key) {
  std::vector<Grant*> open;
  for (const LeaseNumber lease : m_by_target.at(target)) {
    Grant& grant = m_grants.at(lease);
    if (grant.Open()) open.push_back(&grant);
  }
  assert(!open.empty() && "the caller has checked the credit");
  Grant* const idlest = *std::min_element(
      open.begin(), open.end(),
      [](const Grant* a, const Grant* b) { return a->running < b->running; });
  if (prefix_key == 0) return idlest;
  Grant* const preferred = open[AffinityIndex(prefix_key, open.size())];
  const bool busy = preferred->running > idlest->running + kAffinitySlack;
  return busy ? idlest : preferred;
}

std::optional<Placement> ResidencyClient::TryAcquire(
    const AdapterVersion& target, TimeMs now, std::uint64_t prefix_key) {
  CheckLapse(now);
  if (!HasCredit(target, now)) return std::nullopt;
  return Dispatched(*PickGrant(target, prefix_key));
}

Placement ResidencyClient::Dispatched(Grant& grant) {
  ++grant.running;
  m_last_dispatch = m_last_dispatch.Next();
  m_dispatches[m_last_dispatch] = Dispatch{grant.grant.lease};
  const ResidencyGrant& g = grant.grant;
  return Placement{m_last_dispatch, g.lease,    g.worker,
                   g.address,       g.instance, m_deadline};
}

std::optional<Placement> ResidencyClient::TryAcquireOn(
    const AdapterVersion& target, const EnginePin& pin, TimeMs now) {
  CheckLapse(now);
  if (!HasCredit(target, now)) return std::nullopt;
  for (const LeaseNumber lease : m_by_target.at(target)) {
    Grant& grant = m_grants.at(lease);
    const ResidencyGrant& g = grant.grant;
    if (g.worker != pin.worker || g.instance != pin.instance) continue;
    if (grant.Open()) return Dispatched(grant);
  }
  return std::nullopt;
}

bool ResidencyClient::HasRestarted(const AdapterVersion& target,
                                   const EnginePin& pin) const {
  const auto leases = m_by_target.find(target);
  if (leases == m_by_target.end()) return false;
  return std::any_of(
      leases->second.begin(), leases->second.end(), [&](LeaseNumber lease) {
        const Grant& grant = m_grants.at(lease);
        return grant.Usable() && grant.grant.worker == pin.worker &&
               grant.grant.instance != pin.instance;
      });
}

bool ResidencyClient::MaySend(DispatchId dispatch, TimeMs now) {
  CheckLapse(now);
  const auto it = m_dispatches.find(dispatch);
  if (it == m_dispatches.end() || it->second.revoked) return false;
  const auto grant = m_grants.find(it->second.lease);
  return grant != m_grants.end() && grant->second.Usable();
}

bool ResidencyClient::ConfirmAccepted(DispatchId dispatch, TimeMs now) {
  CheckLapse(now);
  const auto it = m_dispatches.find(dispatch);
  if (it == m_dispatches.end() || it->second.revoked) return false;
  if (!it->second.confirmed) {
    it->second.confirmed = true;
    ++m_grants.at(it->second.lease).confirmed;
  }
  return true;
}

void ResidencyClient::Release(DispatchId dispatch) {
  const auto it = m_dispatches.find(dispatch);
  if (it == m_dispatches.end()) return;
  const Dispatch ended = it->second;
  m_dispatches.erase(it);
  const auto grant = m_grants.find(ended.lease);
  if (ended.revoked || grant == m_grants.end()) return;
  --grant->second.running;
  if (ended.confirmed) --grant->second.confirmed;
  if (!grant->second.Usable() && grant->second.running == 0) {
    GiveBack(ended.lease);
  }
}

void ResidencyClient::OnNotResident(DispatchId dispatch) {
  const auto it = m_dispatches.find(dispatch);
  if (it == m_dispatches.end() || it->second.revoked) return;
  TakeRecall(it->second.lease);
}

void ResidencyClient::OnWorkerLost(const WorkerId& worker) {
  std::vector<LeaseNumber> lost;
  for (const auto& [lease, grant] : m_grants) {
    if (grant.grant.worker == worker) lost.push_back(lease);
  }
  for (const LeaseNumber lease : lost) TakeRecall(lease);
}

void ResidencyClient::CheckLapse(TimeMs now) {
  if (m_lapsed || now < m_deadline) return;
  m_lapsed = true;
  m_full = true;
  std::vector<LeaseNumber> leases;
  for (const auto& [lease, grant] : m_grants) leases.push_back(lease);
  for (const LeaseNumber lease : leases) {
    RevokeUnconfirmed(lease);
    Grant& grant = m_grants.at(lease);
    grant.lapsed = true;
    if (grant.running == 0) GiveBack(lease);
  }
}

void ResidencyClient::RevokeUnconfirmed(LeaseNumber lease) {
  Grant& grant = m_grants.at(lease);
  for (auto& [id, dispatch] : m_dispatches) {
    if (dispatch.lease != lease || dispatch.confirmed) continue;
    if (!dispatch.revoked) --grant.running;
    dispatch.revoked = true;
  }
}

void ResidencyClient::DropGrant(LeaseNumber lease) {
  const auto it = m_grants.find(lease);
  const auto leases = m_by_target.find(it->second.grant.target);
  leases->second.erase(lease);
  if (leases->second.empty()) m_by_target.erase(leases);
  m_grants.erase(it);
}

void ResidencyClient::GiveBack(LeaseNumber lease) {
  if (m_grants.contains(lease)) DropGrant(lease);
  m_returns.emplace(lease, Sequence());
  m_changed = true;
}

void ResidencyClient::TakeRecall(LeaseNumber lease) {
  const auto it = m_grants.find(lease);
  if (it == m_grants.end()) {
    // A recall that overtook its grant: the grant must not count when it comes.
    GiveBack(lease);
    return;
  }
  it->second.recalled = true;
  if (it->second.running == 0) GiveBack(lease);
}

}  // namespace yuccamoor
