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

/// A peer that left so many calls in a row unanswered is taken for gone when
/// watchers are chosen.
constexpr std::uint32_t kGoneAfterFailures = 3;

/// One that left so many unanswered is forgotten, unless the settings list it.
constexpr std::uint32_t kForgottenAfterFailures = 10;

/// Returns an even draw from the addresses, or an empty one.
std::string Pick(const std::vector<std::string>& addresses, double random) {
  if (addresses.empty()) return {};
  const auto index =
      static_cast<std::size_t>(random * static_cast<double>(addresses.size()));
  return addresses[std::min(index, addresses.size() - 1)];
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
  for (const std::string& address : m_options.peers) {
    if (address != m_options.address) m_peers[address] = {address, {}, 0};
  }
}

std::size_t ConfigReplica::Rank() const {
  const auto order = [](const std::string& address) {
    return std::make_pair(StableBucketHash(address), address);
  };
  const auto own = order(m_options.address);
  return static_cast<std::size_t>(
      std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& entry) {
        const ConfigPeer& peer = entry.second;
        // One that was not heard of yet may be in the same domain.
        const bool near = peer.failure_domain.empty() ||
                          peer.failure_domain == m_options.failure_domain;
        return near && peer.failures < kGoneAfterFailures &&
               order(peer.address) < own;
      }));
}

void ConfigReplica::OnNoAnswer(const std::string& address) {
  const auto it = m_peers.find(address);
  if (it == m_peers.end()) return;
  const auto& listed = m_options.peers;
  const bool keep =
      std::find(listed.begin(), listed.end(), address) != listed.end();
  if (++it->second.failures >= kForgottenAfterFailures && !keep) {
    m_peers.erase(it);
  }
}

void ConfigReplica::AddPeer(const std::string& address) {
  if (address == m_options.address || m_peers.size() >= kMaxConfigPeers) return;
  m_peers.try_emplace(address, ConfigPeer{address, {}, 0});
}

void ConfigReplica::Meet(const ConfigAnnounce& message) {
  if (message.address.empty() || message.address == m_options.address) return;
  const auto it = m_peers.find(message.address);
  if (it == m_peers.end() && m_peers.size() >= kMaxConfigPeers) return;
  m_peers[message.address] = {message.address, message.failure_domain, 0};
}

ConfigReplicaActions ConfigReplica::Tick(TimeMs now) {
  ConfigReplicaActions actions;
  m_was_ready = m_was_ready || ready(now);
  if (MustWatch(now)) StartWatch(now, actions);
  if (now >= m_next_exchange) {
    const std::string peer = NextPeer(now);
    if (!peer.empty()) StartExchange(peer, now, actions);
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

std::string ConfigReplica::NextPeer(TimeMs now) {
  // Without confirmation, readiness depends on contact to most domains.
  const DurationMs patience = m_options.currency_bound / 2;
  if (m_snapshot && (!m_confirmed || now - *m_confirmed > patience)) {
    std::string peer = PeerOfNextDomain(now);
    if (!peer.empty()) return peer;
  }
  const bool foreign = Random() < kForeignShare;
  std::string peer = Pick(PeersOf(!foreign), Random());
  return peer.empty() ? Pick(PeersOf(foreign), Random()) : peer;
}

std::string ConfigReplica::PeerOfNextDomain(TimeMs now) {
  std::map<FailureDomainId, std::vector<std::string>> domains;
  for (const auto& [address, peer] : m_peers) {
    const bool foreign = !peer.failure_domain.empty() &&
                         peer.failure_domain != m_options.failure_domain;
    if (foreign) domains[peer.failure_domain].push_back(address);
  }
  if (domains.empty()) return {};
  const auto next = std::min_element(
      domains.begin(), domains.end(), [this](const auto& a, const auto& b) {
        return m_asked[a.first] < m_asked[b.first];
      });
  m_asked[next->first] = now;
  return Pick(next->second, Random());
}

bool ConfigReplica::MustWatch(TimeMs now) const {
  if (m_watch_pending || now < m_next_watch) return false;
  const std::size_t rank = Rank();
  if (rank < m_options.watchers_per_domain) return true;
  constexpr DurationMs kPerRank{200};
  constexpr std::size_t kMostRanks = 20;
  const auto behind = static_cast<std::int64_t>(
      std::min(rank - m_options.watchers_per_domain, kMostRanks));
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

void ConfigReplica::StartExchange(const std::string& address, TimeMs now,
                                  ConfigReplicaActions& actions) {
  if (m_exchanges.size() >= kMaxExchanges) return;
  m_last_peer_call = m_last_peer_call.Next();
  m_exchanges[m_last_peer_call] = {address, now};
  actions.exchanges.push_back({m_last_peer_call, address, Announce(now)});
}

void ConfigReplica::Push(TimeMs now, ConfigReplicaActions& actions) {
  auto own = PeersOf(true);
  for (std::size_t i = 0; i < m_options.push_fanout && !own.empty(); ++i) {
    const std::string peer = Pick(own, Random());
    StartExchange(peer, now, actions);
    std::erase(own, peer);
  }
  const std::string foreign = Pick(PeersOf(false), Random());
  if (!foreign.empty()) StartExchange(foreign, now, actions);
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
        pending.sent, {}, now);
}

ConfigReplicaActions ConfigReplica::OnExchangeReply(
    PeerCallId id, const std::optional<ConfigAnnounce>& reply, TimeMs now) {
  ConfigReplicaActions actions;
  const auto it = m_exchanges.find(id);
  if (it == m_exchanges.end()) return actions;
  const PeerPending pending = std::move(it->second);
  m_exchanges.erase(it);
  if (!reply) {
    OnNoAnswer(pending.address);
    return actions;
  }
  Meet(*reply);
  TimeMs& contact = m_contacts[reply->failure_domain];
  contact = std::max(contact, pending.sent);
  std::optional<TimeMs> confirmed;
  if (reply->confirmed_age && *reply->confirmed_age >= DurationMs(0)) {
    confirmed = pending.sent - *reply->confirmed_age;
  }
  Learn(reply->revision, reply->manifest, confirmed, pending.address, now);
  AdoptIfWhole(now, actions);
  Fetch(now, actions);
  return actions;
}

ConfigReplicaActions ConfigReplica::OnExchange(const ConfigAnnounce& message,
                                               TimeMs now) {
  Meet(message);
  // How long the message was under way is not known, so that its age of
  // confirmation cannot be used.
  Learn(message.revision, message.manifest, std::nullopt, message.address, now);
  ConfigReplicaActions actions;
  AdoptIfWhole(now, actions);
  Fetch(now, actions);
  return actions;
}

ConfigAnnounce ConfigReplica::Announce(TimeMs now) const {
  ConfigAnnounce announce;
  announce.from = m_options.self;
  announce.address = m_options.address;
  announce.failure_domain = m_options.failure_domain;
  announce.revision = m_revision;
  announce.manifest = m_manifest_hash;
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
  for (const auto& [address, peer] : m_peers) {
    if (!peer.failure_domain.empty()) all.insert(peer.failure_domain);
  }
  std::set<FailureDomainId> reached;
  for (const auto& [domain, at] : m_contacts) {
    if (now - at <= m_options.currency_bound) reached.insert(domain);
  }
  if (reached.empty()) return false;
  reached.insert(m_options.failure_domain);
  return 2 * reached.size() > all.size();
}

std::vector<std::string> ConfigReplica::PeersOf(bool own_domain) const {
  std::vector<std::string> addresses;
  for (const auto& [address, peer] : m_peers) {
    const bool own = peer.failure_domain.empty() ||
                     peer.failure_domain == m_options.failure_domain;
    if (own == own_domain) addresses.push_back(address);
  }
  return addresses;
}

double ConfigReplica::Random() {
  constexpr double kRange = 4'294'967'296.0;
  return static_cast<double>(m_random()) / kRange;
}

}  // namespace yuccamoor
