/// \file
/// \brief A gateway's exchange of syncs and updates with a cell's leader.

#include <algorithm>
#include <iterator>
#include <utility>

#include "yuccamoor/coordination/residency/residency_client.h"

namespace yuccamoor {
namespace {

/// Syncs whose send times are remembered.
constexpr std::size_t kMaxUnanswered = 64;

}  // namespace

void ResidencyClient::OnLeader(Epoch epoch) {
  if (epoch <= m_epoch) return;
  m_epoch = epoch;
  m_full = true;
  m_changed = true;
  m_sent.clear();
  // A full sync says the same.
  m_returns.clear();
}

void ResidencyClient::OnUpdate(const ResidencyUpdate& update, TimeMs now) {
  if (update.cell != m_options.cell || update.gateway != m_options.gateway ||
      update.incarnation != m_options.incarnation) {
    return;
  }
  OnLeader(update.epoch);
  if (update.epoch < m_epoch) return;
  CheckLapse(now);
  if (update.resync) {
    m_full = true;
    m_changed = true;
    return;
  }
  Acknowledge(update, now);
  if (!m_lapsed && update.acknowledged >= m_grant_barrier) {
    for (const ResidencyGrant& grant : update.grants) TakeGrant(grant);
  }
  for (const LeaseNumber lease : update.recalls) TakeRecall(lease);
  for (const ResidencyRefusal& refusal : update.refusals) {
    if (m_waiting.contains(refusal.target)) m_refusals.push_back(refusal);
  }
}

void ResidencyClient::Acknowledge(const ResidencyUpdate& update, TimeMs now) {
  const auto sent = m_sent.find(update.acknowledged);
  if (sent == m_sent.end()) return;
  const TimeMs deadline = sent->second + update.session_ttl - m_options.margin;
  m_sent.erase(m_sent.begin(), std::next(sent));
  m_acknowledged = std::max(m_acknowledged, update.acknowledged);
  m_deadline = std::max(m_deadline, deadline);
  // After a lapse only the answer to a full sync opens the session again.
  if (now < m_deadline && m_acknowledged >= m_grant_barrier) m_lapsed = false;
  if (m_acknowledged >= m_grant_barrier) m_full = false;
  std::erase_if(m_returns, [&](const auto& entry) {
    return entry.second != Sequence() && entry.second <= m_acknowledged;
  });
}

void ResidencyClient::TakeGrant(const ResidencyGrant& grant) {
  if (m_returns.contains(grant.lease)) return;
  const auto [it, added] = m_grants.try_emplace(grant.lease, Grant{grant});
  if (added) {
    m_by_target[grant.target].insert(grant.lease);
  } else {
    it->second.grant.credit = grant.credit;
    it->second.lapsed = false;
  }
}

bool ResidencyClient::SyncDue(TimeMs now) const {
  if (m_epoch == Epoch()) return false;
  if (!m_ever_synced) return true;
  const DurationMs since = now - m_last_sync;
  if (m_changed) return since >= m_options.min_interval;
  if (!m_sent.empty() || m_full) return since >= m_options.retry_interval;
  const bool idle = m_grants.empty() && m_waiters.empty() && m_returns.empty();
  return !idle && since >= m_options.renew_interval;
}

ResidencySync ResidencyClient::BuildSync(TimeMs now) {
  m_last_sequence = m_last_sequence.Next();
  m_last_sync = now;
  m_ever_synced = true;
  m_changed = false;
  m_sent[m_last_sequence] = now;
  if (m_sent.size() > kMaxUnanswered) m_sent.erase(m_sent.begin());
  ResidencySync sync;
  sync.gateway = m_options.gateway;
  sync.incarnation = m_options.incarnation;
  sync.cell = m_options.cell;
  sync.epoch = m_epoch;
  sync.sequence = m_last_sequence;
  sync.full = m_full;
  sync.wants = CollectWants(now);
  if (m_full) {
    m_grant_barrier = m_last_sequence;
    AppendHoldings(sync);
  }
  for (auto& [lease, first_sent] : m_returns) {
    if (first_sent == Sequence()) {
      first_sent = m_last_sequence;
      m_grant_barrier = m_last_sequence;
    }
    sync.returns.push_back(lease);
  }
  return sync;
}

std::vector<ResidencyWant> ResidencyClient::CollectWants(TimeMs now) const {
  std::unordered_map<AdapterVersion, ResidencyWant> wants;
  for (const auto& [id, waiter] : m_waiters) {
    const DurationMs left = std::max(waiter.deadline - now, DurationMs(0));
    const auto [it, added] = wants.try_emplace(
        waiter.target, ResidencyWant{waiter.target, waiter.priority, 0,
                                     now - waiter.since, left});
    ResidencyWant& want = it->second;
    ++want.waiters;
    want.priority = std::min(want.priority, waiter.priority);
    want.oldest_wait = std::max(want.oldest_wait, now - waiter.since);
    want.shortest_deadline = std::min(want.shortest_deadline, left);
  }
  std::vector<ResidencyWant> list;
  list.reserve(wants.size());
  for (auto& [target, want] : wants) list.push_back(std::move(want));
  std::sort(list.begin(), list.end(),
            [](const ResidencyWant& a, const ResidencyWant& b) {
              return a.target < b.target;
            });
  return list;
}

void ResidencyClient::AppendHoldings(ResidencySync& sync) const {
  for (const auto& [lease, grant] : m_grants) {
    const ResidencyGrant& g = grant.grant;
    sync.holdings.push_back(
        ResidencyHolding{lease, g.target, g.worker, g.instance, grant.running});
  }
}

ResidencyTick ResidencyClient::Tick(TimeMs now) {
  CheckLapse(now);
  ResidencyTick tick;
  for (const auto& [target, waiters] : m_waiting) {
    if (HasCredit(target, now)) tick.ready.push_back(target);
  }
  std::sort(tick.ready.begin(), tick.ready.end());
  tick.refusals = std::exchange(m_refusals, {});
  if (SyncDue(now)) tick.sync = BuildSync(now);
  return tick;
}

}  // namespace yuccamoor
