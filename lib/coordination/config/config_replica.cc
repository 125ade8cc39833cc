/// \file
/// \brief How a replica learns of revisions: the watch of the root record and
/// exchanges with peers; and what it says of its own currency.

#include "yuccamoor/coordination/config/config_replica.h"

#include <algorithm>
#include <set>
#include <utility>

#include "yuccamoor/coordination/backoff.h"
#include "yuccamoor/state/stable_hash.h"

namespace yuccamoor {
namespace {

/// The most exchanges under way at once.
constexpr std::size_t kMaxExchanges = 16;
/// One in so many exchanges goes to another failure domain.
constexpr double kForeignShare = 0.25;
constexpr BackoffLimits kWatchBackoff{DurationMs(50), DurationMs(2'000)};

/// Returns an even draw from the peers, or null.
const ConfigPeer* Pick(const std::vector<const ConfigPeer*>& peers,
                       double random) {
  if (peers.empty()) return nullptr;
  const auto index =
      static_cast<std::size_t>(random * static_cast<double>(peers.size()));
  return peers[std::min(index, peers.size() - 1)];
}

}  // namespace

ConfigReplica::ConfigReplica(ConfigReplicaOptions options,
                             const ConfigCodec& codec, TimeMs now)
    : m_options(std::move(options)),
      m_codec(codec),
      m_random(m_options.seed),
      m_started(now),
      m_segments(codec),
      m_next_watch(now),
      m_next_exchange(now) {
  RankSelf();
}

void ConfigReplica::SetPeers(std::vector<ConfigPeer> peers) {
  m_options.peers = std::move(peers);
  RankSelf();
}

void ConfigReplica::RankSelf() {
  const auto order = [](const NodeId& id) {
    return std::make_pair(StableBucketHash(id.str()), id);
  };
  m_rank = static_cast<std::size_t>(
      std::count_if(m_options.peers.begin(), m_options.peers.end(),
                    [&](const ConfigPeer& peer) {
                      return peer.failure_domain == m_options.failure_domain &&
                             order(peer.id) < order(m_options.self);
                    }));
}

ConfigReplicaActions ConfigReplica::Tick(TimeMs now) {
  ConfigReplicaActions actions;
  m_was_ready = m_was_ready || ready(now);
  if (MustWatch(now)) StartWatch(now, actions);
  if (now >= m_next_exchange) {
    const bool foreign = Random() < kForeignShare;
    const ConfigPeer* peer = Pick(PeersOf(!foreign), Random());
    if (peer == nullptr) peer = Pick(PeersOf(foreign), Random());
    if (peer != nullptr) StartExchange(*peer, now, actions);
    const DurationMs interval = m_snapshot ? m_options.exchange_interval
                                           : m_options.first_exchange_interval;
    constexpr double kLeastShare = 0.75;
    const double share = kLeastShare + Random() / 2;
    m_next_exchange = now + DurationMs(static_cast<std::int64_t>(
                                static_cast<double>(interval.ms()) * share));
  }
  Fetch(now, actions);
  return actions;
}

bool ConfigReplica::MustWatch(TimeMs now) const {
  if (m_watch_pending || now < m_next_watch) return false;
  if (m_rank < m_options.watchers_per_domain) return true;
  constexpr DurationMs kPerRank{200};
  constexpr std::size_t kMostRanks = 20;
  const auto behind = static_cast<std::int64_t>(
      std::min(m_rank - m_options.watchers_per_domain, kMostRanks));
  const TimeMs since = m_confirmed.value_or(m_started);
  return now - since > m_options.confirmation_patience + kPerRank * behind;
}

void ConfigReplica::StartWatch(TimeMs now, ConfigReplicaActions& actions) {
  m_watch_pending = true;
  m_last_kv_call = m_last_kv_call.Next();
  m_kv_pending[m_last_kv_call] = {KvPurpose::kRoot, {}, now};
  actions.kv.push_back(
      {m_last_kv_call,
       KvWatch{kConfigRootKey, m_root_version, m_options.watch_wait},
       {}});
}

void ConfigReplica::StartExchange(const ConfigPeer& peer, TimeMs now,
                                  ConfigReplicaActions& actions) {
  if (m_exchanges.size() >= kMaxExchanges) return;
  m_last_peer_call = m_last_peer_call.Next();
  m_exchanges[m_last_peer_call] = {peer, now};
  actions.exchanges.push_back({m_last_peer_call, peer, Announce(now)});
}

void ConfigReplica::Push(TimeMs now, ConfigReplicaActions& actions) {
  auto own = PeersOf(true);
  for (std::size_t i = 0; i < m_options.push_fanout && !own.empty(); ++i) {
    const ConfigPeer* peer = Pick(own, Random());
    StartExchange(*peer, now, actions);
    std::erase(own, peer);
  }
  const ConfigPeer* foreign = Pick(PeersOf(false), Random());
  if (foreign != nullptr) StartExchange(*foreign, now, actions);
}

ConfigReplicaActions ConfigReplica::OnKvReply(KvCallId id, const KvReply& reply,
                                              TimeMs now) {
  const auto it = m_kv_pending.find(id);
  if (it == m_kv_pending.end()) return {};
  const KvPending pending = std::move(it->second);
  m_kv_pending.erase(it);
  if (pending.purpose == KvPurpose::kRoot) {
    OnRootReply(pending, reply, now);
  } else {
    OnBlobReply(pending, reply, now);
  }
  ConfigReplicaActions actions;
  AdoptIfWhole(now, actions);
  Fetch(now, actions);
  return actions;
}

void ConfigReplica::OnRootReply(const KvPending& pending, const KvReply& reply,
                                TimeMs now) {
  m_watch_pending = false;
  const auto entry =
      std::find_if(reply.entries.begin(), reply.entries.end(),
                   [](const KvEntry& e) { return e.key == kConfigRootKey; });
  if (reply.status != KvStatus::kOk || entry == reply.entries.end()) {
    ++m_watch_failures;
    m_next_watch =
        now + BackoffDelay(kWatchBackoff, m_watch_failures, Random());
    return;
  }
  m_watch_failures = 0;
  m_next_watch = now;
  m_root_version = std::max(m_root_version, entry->version);
  const auto root = m_codec.DecodeRoot(entry->value);
  if (root.has_error()) return;
  Learn(root.value().current.revision, root.value().current.manifest,
        pending.sent, nullptr, now);
}

ConfigReplicaActions ConfigReplica::OnExchangeReply(
    PeerCallId id, const std::optional<ConfigAnnounce>& reply, TimeMs now) {
  ConfigReplicaActions actions;
  const auto it = m_exchanges.find(id);
  if (it == m_exchanges.end()) return actions;
  const PeerPending pending = std::move(it->second);
  m_exchanges.erase(it);
  if (!reply) return actions;
  TimeMs& contact = m_contacts[pending.peer.failure_domain];
  contact = std::max(contact, pending.sent);
  std::optional<TimeMs> confirmed;
  if (reply->confirmed_age && *reply->confirmed_age >= DurationMs(0)) {
    confirmed = pending.sent - *reply->confirmed_age;
  }
  Learn(reply->revision, reply->manifest, confirmed, &pending.peer, now);
  AdoptIfWhole(now, actions);
  Fetch(now, actions);
  return actions;
}

ConfigReplicaActions ConfigReplica::OnExchange(const ConfigAnnounce& message,
                                               TimeMs now) {
  // How long the message was under way is not known, so that its age of
  // confirmation cannot be used.
  Learn(message.revision, message.manifest, std::nullopt,
        FindPeer(message.from), now);
  ConfigReplicaActions actions;
  AdoptIfWhole(now, actions);
  Fetch(now, actions);
  return actions;
}

ConfigAnnounce ConfigReplica::Announce(TimeMs now) const {
  ConfigAnnounce announce{m_options.self, m_revision, m_manifest_hash, {}};
  if (m_confirmed) announce.confirmed_age = now - *m_confirmed;
  return announce;
}

ConfigCurrency ConfigReplica::currency(TimeMs now) const {
  if (!m_snapshot) return ConfigCurrency::kBehind;
  const DurationMs bound = m_options.currency_bound;
  // A restarted daemon may have had the newer revision in its last life.
  if (m_target && (!m_was_ready || now - m_target->learnt > bound)) {
    return ConfigCurrency::kBehind;
  }
  if (m_confirmed && now - *m_confirmed <= bound) {
    return ConfigCurrency::kConfirmed;
  }
  return ReachesMostDomains(now) ? ConfigCurrency::kAgreed
                                 : ConfigCurrency::kIsolated;
}

bool ConfigReplica::ready(TimeMs now) const {
  const ConfigCurrency c = currency(now);
  return c == ConfigCurrency::kConfirmed || c == ConfigCurrency::kAgreed;
}

bool ConfigReplica::ReachesMostDomains(TimeMs now) const {
  std::set<FailureDomainId> all{m_options.failure_domain};
  for (const ConfigPeer& peer : m_options.peers)
    all.insert(peer.failure_domain);
  std::set<FailureDomainId> reached;
  for (const auto& [domain, at] : m_contacts) {
    if (now - at <= m_options.currency_bound && all.contains(domain)) {
      reached.insert(domain);
    }
  }
  if (reached.empty()) return false;
  reached.insert(m_options.failure_domain);
  return 2 * reached.size() > all.size();
}

const ConfigPeer* ConfigReplica::FindPeer(const NodeId& id) const {
  const auto it =
      std::find_if(m_options.peers.begin(), m_options.peers.end(),
                   [&id](const ConfigPeer& peer) { return peer.id == id; });
  return it == m_options.peers.end() ? nullptr : &*it;
}

std::vector<const ConfigPeer*> ConfigReplica::PeersOf(bool own_domain) const {
  std::vector<const ConfigPeer*> peers;
  for (const ConfigPeer& peer : m_options.peers) {
    const bool own = peer.failure_domain == m_options.failure_domain;
    if (own == own_domain) peers.push_back(&peer);
  }
  return peers;
}

double ConfigReplica::Random() {
  constexpr double kRange = 4'294'967'296.0;
  return static_cast<double>(m_random()) / kRange;
}

}  // namespace yuccamoor
