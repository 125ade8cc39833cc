#include "yuccamoor/coordination/quota/quota_issuer.h"

#include <algorithm>
#include <utility>

#include "yuccamoor/state/stable_hash.h"

namespace yuccamoor::fleet {

namespace {

constexpr double kMsPerSecond = 1'000;
// A node may get credit ahead of its need while more than this part of the
// depth is saved up, and this part of what exceeds it. What the node does not
// use in time is lost: a tenant near its limit would miss it.
constexpr double kSparePart = 0.5;
constexpr double kAheadPart = 0.25;
// An issuer with more of the shares than this is the only such one.
constexpr double kMajority = 0.5;
// Questions are not repeated for longer.
constexpr DurationMs kRepeatTime{250};
// An account is forgotten after this, once its bucket is full.
constexpr DurationMs kUnaskedTime{60'000};

}  // namespace

QuotaPool PoolOf(const TenantId& tenant) {
  return QuotaPool(StableBucketHash(tenant.str()) % kQuotaPools);
}

AcceptQuota QuotaIssuer::OnLend(const LendQuota& lend, TimeMs now) {
  AcceptQuota accept{m_self, lend.pool, 0, {m_process, now}};
  if (lend.stamp.process != m_process) return accept;
  const TimeMs until = lend.stamp.time + m_times.lent;
  if (until <= now || lend.stamp.time > now) return accept;
  EndShares(now);
  Lenders& lenders = m_lenders[lend.pool];
  const auto [it, is_new] = lenders.try_emplace(lend.node);
  Lent& lent = it->second;
  if (!is_new && lend.number <= lent.number) return accept;
  if (is_new || lent.share <= 0) lent.since = now;
  lent.number = lend.number;
  lent.share = lend.share;
  lent.until = until;
  UpdateFlows(lend.pool, now);
  accept.number = lend.number;
  return accept;
}

void QuotaIssuer::SetOwnShare(QuotaPool pool, double share, TimeMs now) {
  Lenders& lenders = m_lenders[pool];
  const auto it = lenders.find(m_self);
  const double before = it == lenders.end() ? 0 : it->second.share;
  if (share == before) return;
  EndShares(now);
  if (share <= 0) {
    lenders.erase(m_self);
  } else if (it == lenders.end()) {
    lenders[m_self] = {0, share, now, TimeMs::Never()};
  } else {
    it->second.share = share;
  }
  UpdateFlows(pool, now);
}

double QuotaIssuer::ShareOf(QuotaPool pool) const {
  const auto lenders = m_lenders.find(pool);
  if (lenders == m_lenders.end()) return 0;
  double sum = 0;
  for (const auto& [node, lent] : lenders->second) sum += lent.share;
  return std::min(sum, 1.0);
}

double QuotaIssuer::SavedUp(QuotaPool pool, const QuotaSpec& quota,
                            TimeMs now) const {
  const auto lenders = m_lenders.find(pool);
  if (lenders == m_lenders.end()) return 0;
  double saved = 0;
  for (const auto& [node, lent] : lenders->second) {
    const auto ms = static_cast<double>((now - lent.since).ms());
    const double units = quota.rate_per_second * ms / kMsPerSecond;
    saved += lent.share * std::min(units, quota.burst);
  }
  return saved;
}

void QuotaIssuer::SetFlow(const TenantId& tenant, Account& account,
                          TimeMs now) const {
  const double share = ShareOf(PoolOf(tenant));
  account.bucket.SetFlow(account.quota.rate_per_second * share,
                         account.quota.burst * share, now);
}

void QuotaIssuer::UpdateFlows(QuotaPool pool, TimeMs now) {
  for (auto& [tenant, account] : m_accounts) {
    if (PoolOf(tenant) == pool) SetFlow(tenant, account, now);
  }
}

// Buckets are filled at each tick, by what was lent at the tick before. After a
// suspension of this VM, the shares that are over are taken out first.
void QuotaIssuer::EndShares(TimeMs now) {
  for (auto& [pool, lenders] : m_lenders) {
    TimeMs ended = now;
    for (const auto& [node, lent] : lenders) {
      ended = std::min(ended, lent.until);
    }
    if (ended >= now) continue;
    UpdateFlows(pool, ended);
    std::erase_if(lenders,
                  [now](const auto& item) { return item.second.until <= now; });
    UpdateFlows(pool, ended);
  }
}

QuotaIssuer::Account& QuotaIssuer::AccountFor(const AskQuota& ask, TimeMs now) {
  const auto it = m_accounts.find(ask.tenant);
  if (it != m_accounts.end()) {
    Account& account = it->second;
    if (ask.version > account.version) {
      account.quota = ask.quota;
      account.version = ask.version;
    }
    account.asked = now;
    return account;
  }
  const double saved = SavedUp(PoolOf(ask.tenant), ask.quota, now);
  Account account{ask.quota, ask.version, QuotaBucket(saved, now), now};
  return m_accounts.emplace(ask.tenant, account).first->second;
}

TellQuota QuotaIssuer::OnAsk(const AskQuota& ask, TimeMs now) {
  const auto [it, is_new] = m_answers.try_emplace({ask.node, ask.number});
  if (is_new) it->second = {Grant(ask, now), now};
  return it->second.told;
}

double QuotaIssuer::Further(const AskQuota& ask, const QuotaBucket& bucket) {
  const double left = bucket.level() - ask.amount;
  const double waiting = std::min(ask.waiting - ask.amount, left);
  const double spare = left - waiting - bucket.depth() * kSparePart;
  const double ahead = std::min(ask.wanted - ask.waiting, spare * kAheadPart);
  return std::max(waiting, 0.0) + std::max(ahead, 0.0);
}

TellQuota QuotaIssuer::Grant(const AskQuota& ask, TimeMs now) {
  EndShares(now);
  Account& account = AccountFor(ask, now);
  SetFlow(ask.tenant, account, now);
  QuotaBucket& bucket = account.bucket;
  TellQuota told;
  told.number = ask.number;
  double needed = ask.amount;
  // A request larger than all that may be saved up goes ahead of its credit.
  if (ShareOf(PoolOf(ask.tenant)) > kMajority) {
    needed = std::min(needed, bucket.depth());
  }
  told.wait = bucket.TimeUntil(needed);
  if (told.wait > ask.max_wait) {
    // An issuer without shares has some after this, or is none any more.
    if (bucket.depth() <= 0) told.wait = m_times.lent;
    return told;
  }
  told.granted = ask.amount;
  if (told.wait == DurationMs(0)) told.granted += Further(ask, bucket);
  bucket.Take(told.granted);
  return told;
}

void QuotaIssuer::OnTick(TimeMs now) {
  EndShares(now);
  std::erase_if(m_answers, [now](const auto& item) {
    return now - item.second.at > kRepeatTime;
  });
  for (auto& [tenant, account] : m_accounts) SetFlow(tenant, account, now);
  std::erase_if(m_accounts, [now](const auto& item) {
    const Account& account = item.second;
    return now - account.asked > kUnaskedTime &&
           account.bucket.level() >= account.bucket.depth();
  });
}

}  // namespace yuccamoor::fleet
