#include "yuccamoor/coordination/quota/quota_lender.h"

#include <algorithm>
#include <cstdint>
#include <string>

#include "yuccamoor/state/stable_hash.h"

namespace yuccamoor::fleet {

namespace {

// Loans are renewed this many times before they end.
constexpr std::int64_t kRenewals = 3;
// An issuer has ended, or is cut off, that does not answer for this many times.
constexpr std::int64_t kSilentLoans = 2;
// An issuer that has not answered is passed over for this long.
constexpr DurationMs kPassOverTime{5'000};

std::uint64_t Score(QuotaPool pool, const NodeId& node) {
  return StableBucketHash("quota " + std::to_string(pool.value()) + "!" +
                          node.str());
}

}  // namespace

void QuotaLender::SetNodes(const QuotaMembers& members,
                           const std::map<NodeId, NodeRecord>& registered,
                           TimeMs now) {
  // One that has ended is tried again once it has registered.
  std::erase_if(m_silent, [&registered, now](const auto& item) {
    return now >= item.second && registered.contains(item.first);
  });
  if (members != m_members) {
    m_members = members;
    Rank();
  }
  Choose(now);
}

void QuotaLender::Rank() {
  std::vector<std::pair<std::uint64_t, NodeId>> scored;
  for (const auto* kind : {&m_members.joining, &m_members.settled}) {
    for (const NodeId& node : *kind) {
      scored.emplace_back(Score(m_pool, node), node);
    }
  }
  std::sort(scored.begin(), scored.end());
  m_ranked.clear();
  for (auto& [score, node] : scored) m_ranked.push_back(std::move(node));
}

void QuotaLender::Choose(TimeMs now) {
  const auto first = std::find_if(
      m_ranked.begin(), m_ranked.end(), [this](const NodeId& node) {
        return node == m_self || !m_silent.contains(node);
      });
  const NodeId& issuer = first == m_ranked.end() ? m_self : *first;
  if (issuer == m_issuer) return;
  m_issuer = issuer;
  m_stamp = {};
  m_chosen = now;
  m_told = TimeMs();
}

void QuotaLender::CheckSilence(TimeMs now) {
  const bool is_silent =
      m_issuer != m_self &&
      now - std::max(m_answered, m_chosen) >= m_times.lent * kSilentLoans;
  if (is_silent) m_silent[m_issuer] = now + kPassOverTime;
  Choose(now);
}

LendQuota QuotaLender::Lend(double share, const IssuerStamp& stamp) {
  return {m_self, m_pool, ++m_last_number, share, stamp};
}

std::vector<QuotaLender::Outgoing> QuotaLender::OnTick(double share,
                                                       TimeMs now) {
  CheckSilence(now);
  std::vector<Outgoing> due;
  if (now - m_told < m_times.lent / kRenewals) return due;
  m_told = now;
  const bool is_elsewhere = !IsFree(now) && m_lent_to != m_issuer;
  if (is_elsewhere) {
    due.push_back({m_lent_to, Lend(0, m_lent_stamp)});
    m_ending = m_last_number;
  }
  if (m_issuer == m_self) return due;
  // An issuer can use the share once it gets a stamp of its own back.
  const bool lends = share > 0 && !is_elsewhere && m_stamp.process != 0;
  due.push_back({m_issuer, Lend(lends ? share : 0, m_stamp)});
  if (lends) {
    m_lent_to = m_issuer;
    m_lent_stamp = m_stamp;
    m_lent_until = now + m_times.lent;
    m_ending.reset();
  }
  return due;
}

bool QuotaLender::OnAccept(const AcceptQuota& accept, TimeMs now) {
  if (accept.pool != m_pool) return false;
  const bool has_ended = m_ending && accept.issuer == m_lent_to &&
                         accept.number == *m_ending &&
                         accept.stamp.process == m_lent_stamp.process;
  if (has_ended) {
    m_ending.reset();
    m_lent_until = now;
    m_told = TimeMs();
    return true;
  }
  if (accept.issuer != m_issuer) return false;
  const bool is_first = m_stamp.process != accept.stamp.process;
  // Answers may overtake each other.
  if (!is_first && accept.stamp.time < m_stamp.time) return false;
  m_stamp = accept.stamp;
  m_answered = now;
  if (is_first) m_told = TimeMs();
  return is_first;
}

}  // namespace yuccamoor::fleet
