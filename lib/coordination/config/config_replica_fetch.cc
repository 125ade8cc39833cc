/// \file
/// \brief How a replica fetches and adopts a revision that it learnt of.

#include <algorithm>
#include <utility>

#include "yuccamoor/coordination/backoff.h"
#include "yuccamoor/coordination/config/config_replica.h"

namespace yuccamoor {
namespace {

constexpr std::size_t kMaxPeerFetches = 2;
constexpr std::size_t kMaxServiceFetches = 8;
/// The most peers remembered as holding the target.
constexpr std::size_t kMaxHolders = 8;
constexpr BackoffLimits kServiceBackoff{DurationMs(50), DurationMs(2'000)};

std::optional<TimeMs> Later(std::optional<TimeMs> a, std::optional<TimeMs> b) {
  if (!a || !b) return a ? a : b;
  return std::max(*a, *b);
}

}  // namespace

void ConfigReplica::Learn(Revision revision, const SegmentHash& manifest,
                          std::optional<TimeMs> confirmed,
                          const std::string& holder, TimeMs now) {
  // A lower revision is an answer from the past.
  if (revision < m_revision || revision == Revision()) return;
  if (revision == m_revision) {
    if (manifest == m_manifest_hash) {
      m_confirmed = Later(m_confirmed, confirmed);
    } else {
      ++m_conflicts;
    }
    return;
  }
  if (m_target && revision < m_target->revision) return;
  if (!m_target || revision > m_target->revision) {
    const TimeMs learnt = m_target ? m_target->learnt : now;
    m_target = Target{};
    m_target->revision = revision;
    m_target->manifest_hash = manifest;
    m_target->learnt = learnt;
  }
  if (manifest != m_target->manifest_hash) {
    ++m_conflicts;
    return;
  }
  m_target->confirmed = Later(m_target->confirmed, confirmed);
  if (holder.empty() || m_target->holders.size() >= kMaxHolders) return;
  m_target->holders.push_back(holder);
}

std::vector<SegmentNeed> ConfigReplica::Needs() const {
  if (!m_target) return {};
  if (m_target->manifest) return m_segments.Missing(*m_target->manifest);
  return {{m_target->manifest_hash, SegmentKind::kUnit}};
}

void ConfigReplica::Fetch(TimeMs now, ConfigReplicaActions& actions) {
  const auto needs = Needs();
  if (needs.empty()) return;
  if (!m_target->holders.empty()) {
    FetchFromPeer(needs, now, actions);
    return;
  }
  if (m_fetches.empty() && MayUseService(now)) {
    FetchFromService(needs, now, actions);
  }
}

bool ConfigReplica::MayUseService(TimeMs now) const {
  if (now < m_target->service_retry_at) return false;
  return Rank() < m_options.watchers_per_domain ||
         now - m_target->learnt > m_options.peer_patience;
}

void ConfigReplica::FetchFromPeer(const std::vector<SegmentNeed>& needs,
                                  TimeMs now, ConfigReplicaActions& actions) {
  // Each fetch under way has taken a part of the needs, in order.
  std::size_t next = m_fetches.size() * kMaxFetchHashes;
  while (next < needs.size() && m_fetches.size() < kMaxPeerFetches) {
    ConfigFetch message;
    const std::size_t end = std::min(needs.size(), next + kMaxFetchHashes);
    for (; next < end; ++next) message.hashes.push_back(needs[next].hash);
    m_last_peer_call = m_last_peer_call.Next();
    const std::string& peer = m_target->holders.back();
    m_fetches[m_last_peer_call] = {peer, now};
    actions.fetches.push_back({m_last_peer_call, peer, std::move(message)});
  }
}

void ConfigReplica::FetchFromService(const std::vector<SegmentNeed>& needs,
                                     TimeMs now,
                                     ConfigReplicaActions& actions) {
  for (const SegmentNeed& need : needs) {
    if (m_kv_pending.size() >= kMaxServiceFetches) return;
    const bool under_way = std::any_of(
        m_kv_pending.begin(), m_kv_pending.end(), [&need](const auto& p) {
          return p.second.purpose == KvPurpose::kBlob &&
                 p.second.hash == need.hash;
        });
    if (under_way) continue;
    m_last_kv_call = m_last_kv_call.Next();
    m_kv_pending[m_last_kv_call] = {KvPurpose::kBlob, need.hash, now};
    actions.kv.push_back({m_last_kv_call, KvGet{SegmentKey(need.hash)}, {}});
  }
}

ConfigReplicaActions ConfigReplica::OnFetchReply(
    PeerCallId id, const std::optional<ConfigBlobs>& reply, TimeMs now) {
  ConfigReplicaActions actions;
  const auto it = m_fetches.find(id);
  if (it == m_fetches.end()) return actions;
  const std::string from = it->second.address;
  m_fetches.erase(it);
  if (!m_target) return actions;
  bool useful = false;
  if (reply) {
    for (const ConfigBlob& blob : reply->blobs) {
      useful = TakeBlob(blob.hash, blob.bytes) || useful;
    }
  }
  if (!useful) {
    std::erase(m_target->holders, from);
  }
  AdoptIfWhole(now, actions);
  Fetch(now, actions);
  return actions;
}

void ConfigReplica::OnBlobReply(const KvPending& pending, const KvReply& reply,
                                TimeMs now) {
  if (!m_target) return;
  const bool found = reply.status == KvStatus::kOk && !reply.entries.empty();
  if (found) {
    // A late answer may belong to an earlier target: that is no failure.
    static_cast<void>(TakeBlob(pending.hash, reply.entries.front().value));
    const auto needs = Needs();
    const bool lacking = std::any_of(
        needs.begin(), needs.end(),
        [&](const SegmentNeed& n) { return n.hash == pending.hash; });
    if (!lacking) {
      m_target->service_failures = 0;
      return;
    }
  }
  ++m_target->service_failures;
  m_target->service_retry_at =
      now + BackoffDelay(kServiceBackoff, m_target->service_failures, Random());
  // An absent segment was collected: the root names a newer revision by now.
  const bool absent = found || reply.status == KvStatus::kNotFound ||
                      reply.status == KvStatus::kOk;
  if (absent) m_next_watch = std::min(m_next_watch, now);
}

bool ConfigReplica::TakeBlob(const SegmentHash& hash,
                             const std::string& bytes) {
  if (m_target->manifest) {
    const auto needs = m_segments.Missing(*m_target->manifest);
    const auto need =
        std::find_if(needs.begin(), needs.end(),
                     [&hash](const SegmentNeed& n) { return n.hash == hash; });
    return need != needs.end() && m_segments.Add(*need, bytes);
  }
  if (hash != m_target->manifest_hash || HashSegment(bytes) != hash) {
    return false;
  }
  auto manifest = m_codec.DecodeManifest(bytes);
  if (manifest.has_error()) return false;
  m_target->manifest = std::move(manifest.value());
  m_target->manifest_bytes = bytes;
  m_segments.Retain(m_manifest, *m_target->manifest);
  return true;
}

void ConfigReplica::AdoptIfWhole(TimeMs now, ConfigReplicaActions& actions) {
  if (!m_target || !m_target->manifest || !Needs().empty()) return;
  Target target = std::move(*m_target);
  m_target.reset();
  m_revision = target.revision;
  m_manifest_hash = target.manifest_hash;
  m_manifest = std::move(*target.manifest);
  m_manifest_bytes = std::move(target.manifest_bytes);
  m_confirmed = Later(m_confirmed, target.confirmed);
  m_snapshot = m_segments.Assemble(m_manifest, m_revision);
  m_segments.Retain(m_manifest, m_manifest);
  Push(now, actions);
}

ConfigBlobs ConfigReplica::OnFetch(const ConfigFetch& message) const {
  ConfigBlobs reply;
  std::size_t bytes = 0;
  std::size_t asked = 0;
  for (const SegmentHash& hash : message.hashes) {
    if (++asked > kMaxFetchHashes || bytes > kFetchReplyBytes) break;
    const std::string* blob =
        hash == m_manifest_hash ? &m_manifest_bytes : m_segments.Find(hash);
    if (blob == nullptr) continue;
    bytes += blob->size();
    reply.blobs.push_back({hash, *blob});
  }
  return reply;
}

}  // namespace yuccamoor
