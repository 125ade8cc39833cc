/// \file
/// \brief A daemon's copy of the configuration in force: kept current through
/// the key-value service and through peers, and never taken back to a lower
/// revision.
///
/// A few daemons of each failure domain watch the root record; the others learn
/// of revisions in exchanges with random peers, which the holder of a new
/// revision starts at once and everyone repeats at an interval. What is missing
/// of a revision is fetched by hash from peers, else from the service. A
/// revision is adopted when all of it is there.
///
/// An exchange also tells how long ago the peer's revision was known to be in
/// force. The asker counts that age from the time at which it sent its message,
/// so that it errs towards too old.

#ifndef YUCCAMOOR_COORDINATION_CONFIG_CONFIG_REPLICA_H_
#define YUCCAMOOR_COORDINATION_CONFIG_CONFIG_REPLICA_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "yuccamoor/coordination/config/config_codec.h"
#include "yuccamoor/coordination/config/config_messages.h"
#include "yuccamoor/coordination/config/config_segments.h"
#include "yuccamoor/coordination/config/kv_call.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/config_records.h"

namespace yuccamoor {

/// The most other daemons that a replica remembers.
constexpr std::size_t kMaxConfigPeers = 1'024;

/// Another daemon.
struct ConfigPeer {
  /// "ip:port".
  std::string address;
  /// Empty until the peer is heard of.
  FailureDomainId failure_domain;
  /// Calls in a row that it did not answer.
  std::uint32_t failures = 0;
};

/// How a replica works.
struct ConfigReplicaOptions {
  NodeId self;
  /// Where the daemon takes calls of peers, as "ip:port".
  std::string address;
  FailureDomainId failure_domain;
  /// Addresses of other daemons. Those that call are remembered, too.
  std::vector<std::string> peers;
  std::uint64_t seed = 0;

  /// Time between two exchanges that the replica starts; shorter while it has
  /// no configuration.
  DurationMs exchange_interval{2'000};
  DurationMs first_exchange_interval{200};
  /// The longest that a watch of the root waits.
  DurationMs watch_wait{4'000};
  /// Daemons of a failure domain that watch the root at all times.
  std::size_t watchers_per_domain = 2;
  /// Peers of the own failure domain that hear of a new revision at once.
  std::size_t push_fanout = 3;
  /// Time without confirmation after which any daemon watches the root itself.
  DurationMs confirmation_patience{8'000};
  /// Time that peers have to give a revision before any daemon reads it from
  /// the service.
  DurationMs peer_patience{3'000};
  /// Time without contact after which the replica is not ready.
  DurationMs currency_bound{15'000};
};

/// Matches a peer's reply to its call.
using PeerCallId = NumberId<struct PeerCallIdTag>;

/// Starts an exchange with the peer.
struct ConfigExchangeCall {
  PeerCallId id;
  /// "ip:port".
  std::string to;
  ConfigAnnounce message;
};

/// Fetches from the peer.
struct ConfigFetchCall {
  PeerCallId id;
  /// "ip:port".
  std::string to;
  ConfigFetch message;
};

/// The calls that a replica asks for.
struct ConfigReplicaActions {
  KvCalls kv;
  std::vector<ConfigExchangeCall> exchanges;
  std::vector<ConfigFetchCall> fetches;
};

/// What a replica knows of its revision.
enum class ConfigCurrency : std::uint8_t {
  /// There is no configuration yet, or a newer one is known and overdue.
  kBehind,
  /// It was in force within the currency bound.
  kConfirmed,
  /// The service does not answer; no peer has a newer one, and peers of more
  /// than half of the failure domains were asked within the bound.
  kAgreed,
  /// Neither the service nor enough peers were reached within the bound.
  kIsolated,
};

/// Not safe for use from several threads. Every call of a peer and of the
/// service that it asks for must be answered, also when it failed.
class ConfigReplica {
 public:
  /// \p codec must outlive the replica.
  ConfigReplica(ConfigReplicaOptions options, const ConfigCodec& codec,
                TimeMs now);

  /// Starts what is due. To be called every 100 ms or so.
  ConfigReplicaActions Tick(TimeMs now);

  ConfigReplicaActions OnKvReply(KvCallId id, const KvReply& reply, TimeMs now);
  ConfigReplicaActions OnExchangeReply(
      PeerCallId id, const std::optional<ConfigAnnounce>& reply, TimeMs now);
  ConfigReplicaActions OnFetchReply(PeerCallId id,
                                    const std::optional<ConfigBlobs>& reply,
                                    TimeMs now);

  /// Takes a peer's part of an exchange. The own part is Announce().
  ConfigReplicaActions OnExchange(const ConfigAnnounce& message, TimeMs now);
  ConfigAnnounce Announce(TimeMs now) const;
  /// Answers a peer's fetch.
  ConfigBlobs OnFetch(const ConfigFetch& message) const;

  /// Adds a daemon that another source knows, by its address. Known ones stay
  /// as they are.
  void AddPeer(const std::string& address);

  /// The configuration in force as far as known, or null. Callers keep it for
  /// as long as their request runs.
  std::shared_ptr<const ConfigSnapshot> current() const { return m_snapshot; }
  Revision revision() const { return m_revision; }
  ConfigCurrency currency(TimeMs now) const;
  /// Whether the daemon may take requests.
  bool ready(TimeMs now) const;
  /// Roots and peers that claimed another content for the current revision.
  std::uint64_t conflicts() const { return m_conflicts; }

 private:
  enum class KvPurpose : std::uint8_t { kRoot, kBlob };

  struct KvPending {
    KvPurpose purpose = KvPurpose::kRoot;
    SegmentHash hash;
    TimeMs sent;
  };

  struct PeerPending {
    std::string address;
    TimeMs sent;
  };

  /// A revision that is known and not yet whole.
  struct Target {
    Revision revision;
    SegmentHash manifest_hash;
    std::optional<Manifest> manifest;
    std::string manifest_bytes;
    /// The latest time at which it was known to be in force.
    std::optional<TimeMs> confirmed;
    TimeMs learnt;
    /// Addresses of peers that have it; tried from the back.
    std::vector<std::string> holders;
    /// No fetch from the service before then.
    TimeMs service_retry_at;
    std::uint32_t service_failures = 0;
  };

  /// The peer to exchange with next, or an empty address.
  std::string NextPeer(TimeMs now);
  /// A peer of the other failure domain that was asked least recently.
  std::string PeerOfNextDomain(TimeMs now);
  void StartWatch(TimeMs now, ConfigReplicaActions& actions);
  void StartExchange(const std::string& address, TimeMs now,
                     ConfigReplicaActions& actions);
  void Push(TimeMs now, ConfigReplicaActions& actions);
  void OnRootReply(const KvPending& pending, const KvReply& reply, TimeMs now);
  void OnBlobReply(const KvPending& pending, const KvReply& reply, TimeMs now);
  /// Takes the news that a revision was in force at a time, or only that it is
  /// an accepted one.
  void Learn(Revision revision, const SegmentHash& manifest,
             std::optional<TimeMs> confirmed, const std::string& holder,
             TimeMs now);
  void Fetch(TimeMs now, ConfigReplicaActions& actions);
  void FetchFromPeer(const std::vector<SegmentNeed>& needs, TimeMs now,
                     ConfigReplicaActions& actions);
  void FetchFromService(const std::vector<SegmentNeed>& needs, TimeMs now,
                        ConfigReplicaActions& actions);
  /// What the target lacks; the manifest alone while that is not there.
  std::vector<SegmentNeed> Needs() const;
  /// Takes a blob for the target. Returns whether the target lacked it and the
  /// bytes are what the hash names.
  bool TakeBlob(const SegmentHash& hash, const std::string& bytes);
  void AdoptIfWhole(TimeMs now, ConfigReplicaActions& actions);
  bool MayUseService(TimeMs now) const;
  bool MustWatch(TimeMs now) const;
  bool ReachesMostDomains(TimeMs now) const;
  void OnNoAnswer(const std::string& address);
  /// Remembers who sent the message.
  void Meet(const ConfigAnnounce& message);
  std::vector<std::string> PeersOf(bool own_domain) const;
  /// The own place in the failure domain's order of watchers.
  std::size_t Rank() const;
  double Random();

  ConfigReplicaOptions m_options;
  const ConfigCodec& m_codec;
  pcg32 m_random;
  TimeMs m_started;

  Revision m_revision;
  SegmentHash m_manifest_hash;
  Manifest m_manifest;
  std::string m_manifest_bytes;
  ConfigSegments m_segments;
  std::shared_ptr<const ConfigSnapshot> m_snapshot;
  /// The latest time at which no newer revision was in force.
  std::optional<TimeMs> m_confirmed;
  std::optional<Target> m_target;
  bool m_was_ready = false;
  std::uint64_t m_conflicts = 0;

  /// Other daemons by address.
  std::map<std::string, ConfigPeer> m_peers;
  KvVersion m_root_version;
  bool m_watch_pending = false;
  TimeMs m_next_watch;
  std::uint32_t m_watch_failures = 0;
  TimeMs m_next_exchange;
  std::map<FailureDomainId, TimeMs> m_contacts;
  /// When a peer of each other failure domain was last asked for its currency.
  std::map<FailureDomainId, TimeMs> m_asked;

  KvCallId m_last_kv_call;
  std::map<KvCallId, KvPending> m_kv_pending;
  PeerCallId m_last_peer_call;
  std::map<PeerCallId, PeerPending> m_exchanges;
  std::map<PeerCallId, PeerPending> m_fetches;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_CONFIG_CONFIG_REPLICA_H_
