#include "yuccamoor/coordination/quota/quota_lender.h"

#include <algorithm>
#include <cstdint>
#include <string>

#include "yuccamoor/state/stable_hash.h"

namespace yuccamoor::fleet {

namespace {

// Loans are renewed this many times before they end.
constexpr std::int64_t kRenewals = 3;
// An issuer that has not answered is passed over for this long.
constexpr DurationMs kPassOverTime{5'000};

std::uint64_t Score(QuotaPool pool, const NodeId& node) {
  return StableBucketHash("quota " + std::to_string(pool.value()) + "!" +
                          node.str());
}

}  // namespace

void QuotaLender::SetNodes(const std::map<NodeId, NodeRecord>& nodes,
                           TimeMs now) {
  const bool is_same = std::equal(
      nodes.begin(), nodes.end(), m_nodes.begin(), m_nodes.end(),
      [](const auto& item, const NodeId& node) { return item.first == node; });
  if (is_same) return;
  m_nodes.clear();
  std::vector<std::pair<std::uint64_t, NodeId>> scored;
  scored.reserve(nodes.size());
  for (const auto& [node, record] : nodes) {
    m_nodes.insert(node);
    scored.emplace_back(Score(m_pool, node), node);
  }
  std::sort(scored.begin(), scored.end());
  m_ranked.clear();
  for (auto& [score, node] : scored) m_ranked.push_back(std::move(node));
  Choose(now);
}

void QuotaLender::Choose(TimeMs now) {
  std::erase_if(m_silent,
                [now](const auto& item) { return now >= item.second; });
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

std::optional<LendQuota> QuotaLender::OnTick(double share, TimeMs now) {
  const bool is_silent = m_issuer != m_self &&
                         now - std::max(m_answered, m_chosen) >= m_times.lent;
  if (is_silent) m_silent[m_issuer] = now + kPassOverTime;
  Choose(now);
  if (m_issuer == m_self) return std::nullopt;
  const DurationMs interval = m_times.lent / kRenewals;
  if (now - m_told < interval) return std::nullopt;
  m_told = now;
  LendQuota lend{m_self, m_pool, share, m_stamp};
  // The share may still be lent to an earlier issuer.
  const bool may_lend = IsFree(now) || m_lent_to == m_issuer;
  if (!may_lend) lend.share = 0;
  if (lend.share > 0 && m_stamp.process != 0) {
    m_lent_to = m_issuer;
    m_lent_until = now + m_times.lent;
  }
  return lend;
}

bool QuotaLender::OnAccept(const AcceptQuota& accept, TimeMs now) {
  if (accept.issuer != m_issuer || accept.pool != m_pool) return false;
  const bool is_first = m_stamp.process != accept.stamp.process;
  // Answers may overtake each other.
  if (!is_first && accept.stamp.time < m_stamp.time) return false;
  m_stamp = accept.stamp;
  m_answered = now;
  if (is_first) m_told = TimeMs();
  return is_first;
}

}  // namespace yuccamoor::fleet
