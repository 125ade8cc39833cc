/// \file
/// \brief Implementation of the replica's own part: reads of the service, and
/// the order of entries.

#include "yuccamoor/coordination/membership/member_replica.h"

#include <algorithm>
#include <set>
#include <utility>

#include "yuccamoor/coordination/backoff.h"
#include "yuccamoor/state/stable_hash.h"

namespace yuccamoor {
namespace {

constexpr BackoffLimits kReadBackoff{DurationMs(500), DurationMs(8'000)};
/// A read without a reply counts as failed after this.
constexpr DurationMs kReadTimeout{5'000};
/// Removals that are remembered, beyond which the oldest is forgotten.
constexpr std::size_t kMostRemovals = 4'096;
constexpr std::size_t kMostRecent = 16;
/// News in one message.
constexpr std::size_t kMostUnsent = 64;

std::uint64_t HashOf(const std::string& key, KvVersion version) {
  return StableBucketHash(key + ' ' + std::to_string(version.value()));
}

}  // namespace

MemberReplica::MemberReplica(const MemberReplicaOptions& options, TimeMs now)
    : m_options(options),
      m_random(options.seed),
      m_next_read(now),
      m_next_exchange(now),
      m_next_push(now) {}

MemberReplicaActions MemberReplica::Tick(TimeMs now) {
  MemberReplicaActions actions;
  if (now >= m_next_read) {
    if (m_read_pending) ++m_read_failures;
    m_read_pending = true;
    m_next_read = now + kReadTimeout;
    actions.read = true;
  }
  PushNews(now, actions);
  for (const std::string& peer : std::exchange(m_behind, {})) {
    StartExchange(peer, {m_recent.begin(), m_recent.end()}, actions);
  }
  if (m_known && now >= m_next_exchange) {
    m_next_exchange = now + Spread(m_options.exchange_interval);
    StartExchange(RandomPeer(), {}, actions);
  }
  return actions;
}

void MemberReplica::ReadSoon(TimeMs now) {
  if (!m_read_pending) m_next_read = std::min(m_next_read, now);
}

DurationMs MemberReplica::ReadInterval() const {
  const auto budget = m_options.read_bytes_per_second;
  const std::size_t size = m_list_bytes + m_vm_bytes;
  if (!budget || size <= m_options.small_list_bytes) {
    return m_options.least_read_interval;
  }
  constexpr std::int64_t kMsPerSecond = 1'000;
  const auto bytes = static_cast<std::int64_t>(size);
  return std::max(m_options.least_read_interval,
                  DurationMs(bytes * kMsPerSecond / *budget));
}

void MemberReplica::OnList(const KvReply& reply, TimeMs sent, TimeMs now) {
  m_read_pending = false;
  if (reply.status != KvStatus::kOk) {
    ++m_read_failures;
    m_next_read =
        m_options.read_bytes_per_second
            ? now + BackoffDelay(kReadBackoff, m_read_failures, Random())
            : sent + m_options.least_read_interval;
    return;
  }
  m_read_failures = 0;
  m_list_bytes = 0;
  for (const KvEntry& entry : reply.entries) {
    m_list_bytes += entry.key.size() + entry.value.size();
    TakeListed(entry, sent, now);
  }
  RemoveUnlisted(reply, sent, now);
  // What the first list holds is no news to anyone.
  if (!m_known) {
    m_unsent.clear();
    m_recent.clear();
  }
  m_changed = m_changed || !m_known;
  m_known = true;
  m_listed_at = std::max(m_listed_at, sent);
  // From the sending on, so that the reply's way does not add to the interval.
  const DurationMs interval = ReadInterval();
  m_next_read =
      sent +
      (interval > m_options.least_read_interval ? Spread(interval) : interval);
}

void MemberReplica::TakeListed(const KvEntry& entry, TimeMs sent, TimeMs now) {
  const auto removal = m_removals.find(entry.key);
  // A removal that was learnt before the read was sent is wrong, as the entry
  // is still there.
  if (removal != m_removals.end() && removal->second.learnt < sent &&
      entry.version <= removal->second.version) {
    m_removals.erase(removal);
  }
  Apply({entry.key, entry.version, entry.value}, now);
}

void MemberReplica::RemoveUnlisted(const KvReply& reply, TimeMs sent,
                                   TimeMs now) {
  std::set<std::string> listed;
  for (const KvEntry& entry : reply.entries) listed.insert(entry.key);
  std::vector<MemberNews> gone;
  for (const auto& [key, entry] : m_entries) {
    if (listed.contains(key) || entry.learnt >= sent) continue;
    gone.push_back({key, entry.version, {}});
  }
  ApplyAll(gone, now);
}

void MemberReplica::Apply(const MemberNews& news, TimeMs now) {
  const auto removal = m_removals.find(news.key);
  if (removal != m_removals.end() && news.version <= removal->second.version) {
    return;
  }
  const auto known = m_entries.find(news.key);
  const bool older = known != m_entries.end() &&
                     (news.removed() ? news.version < known->second.version
                                     : news.version <= known->second.version);
  if (older) return;
  if (known != m_entries.end()) {
    m_digest ^= HashOf(news.key, known->second.version);
    m_entries.erase(known);
  }
  if (news.removed()) {
    Remove(news.key, news.version, now);
  } else {
    m_entries[news.key] = {news.version, news.value, now};
    m_digest ^= HashOf(news.key, news.version);
  }
  m_changed = true;
  Remember(news);
}

void MemberReplica::Remove(const std::string& key, KvVersion version,
                           TimeMs now) {
  const auto [it, added] =
      m_removals.insert_or_assign(key, Removal{version, now});
  if (!added) return;
  m_removal_order.push_back(key);
  if (m_removal_order.size() <= kMostRemovals) return;
  m_removals.erase(m_removal_order.front());
  m_removal_order.pop_front();
}

void MemberReplica::Remember(const MemberNews& news) {
  if (m_unsent.size() < kMostUnsent) m_unsent.push_back(news);
  m_recent.push_back(news);
  if (m_recent.size() > kMostRecent) m_recent.pop_front();
}

void MemberReplica::ApplyAll(const std::vector<MemberNews>& news, TimeMs now) {
  for (const MemberNews& item : news) Apply(item, now);
}

void MemberReplica::OnWritten(const MemberNews& news, TimeMs now) {
  Apply(news, now);
}

KvReply MemberReplica::Entries() const {
  KvReply reply;
  reply.status = KvStatus::kOk;
  for (const auto& [key, entry] : m_entries) {
    reply.entries.push_back(KvEntry{key, entry.value, entry.version});
  }
  return reply;
}

bool MemberReplica::TakeChanged() { return std::exchange(m_changed, false); }

DurationMs MemberReplica::Spread(DurationMs duration) {
  constexpr double kLeastShare = 0.75;
  return DurationMs(static_cast<std::int64_t>(
      static_cast<double>(duration.ms()) * (kLeastShare + Random() / 2)));
}

double MemberReplica::Random() {
  constexpr double kRange = 4'294'967'296.0;
  return static_cast<double>(m_random()) / kRange;
}

}  // namespace yuccamoor
