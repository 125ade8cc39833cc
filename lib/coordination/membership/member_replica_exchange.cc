/// \file
/// \brief Implementation of the replica's exchanges with peers.

#include <algorithm>
#include <utility>

#include "yuccamoor/coordination/membership/member_replica.h"

namespace yuccamoor {
namespace {

/// The most exchanges under way at once.
constexpr std::size_t kMaxExchanges = 16;
/// A replica that differs from so many peers in a row, also after their news,
/// reads the list.
constexpr std::uint32_t kMostMismatches = 3;

}  // namespace

std::string MemberReplica::RandomPeer() {
  if (m_peers.empty()) return {};
  const auto index =
      static_cast<std::size_t>(Random() * static_cast<double>(m_peers.size()));
  return m_peers[std::min(index, m_peers.size() - 1)];
}

void MemberReplica::PushNews(TimeMs now, MemberReplicaActions& actions) {
  if (m_unsent.empty() || now < m_next_push) return;
  m_next_push = now + m_options.push_interval;
  const std::vector<MemberNews> news = std::exchange(m_unsent, {});
  for (std::size_t i = 0; i < m_options.push_fanout; ++i) {
    StartExchange(RandomPeer(), news, actions);
  }
}

void MemberReplica::StartExchange(const std::string& peer,
                                  std::vector<MemberNews> news,
                                  MemberReplicaActions& actions) {
  if (peer.empty() || m_calls.size() >= kMaxExchanges) return;
  m_last_call = m_last_call.Next();
  m_calls[m_last_call] = {peer, news.empty()};
  actions.exchanges.push_back(
      {m_last_call, peer, MemberExchange{m_digest, std::move(news)}});
}

MemberExchange MemberReplica::OnExchange(const MemberExchange& message,
                                         TimeMs now) {
  // Before the first list, news alone would look like the whole.
  if (!m_known) return {};
  ApplyAll(message.news, now);
  MemberExchange answer;
  answer.digest = m_digest;
  // Whoever only brings news has heard of the others from somewhere else.
  if (message.news.empty() && message.digest != m_digest) {
    answer.news.assign(m_recent.begin(), m_recent.end());
  }
  return answer;
}

void MemberReplica::OnExchangeReply(MemberCallId id,
                                    const std::optional<MemberExchange>& reply,
                                    TimeMs now) {
  const auto it = m_calls.find(id);
  if (it == m_calls.end()) return;
  const Call call = std::move(it->second);
  m_calls.erase(it);
  // One without entries has not read its first list.
  if (!reply || !call.asks || reply->digest == 0) return;
  ApplyAll(reply->news, now);
  if (reply->digest == m_digest) {
    m_mismatches = 0;
    return;
  }
  m_behind.push_back(call.peer);
  if (++m_mismatches < kMostMismatches) return;
  m_mismatches = 0;
  ReadSoon(now);
}

}  // namespace yuccamoor
