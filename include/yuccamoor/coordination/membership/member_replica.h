/// \file
/// \brief A daemon's copy of the list of members, kept current by few reads of
/// the key-value service and by news from peers.
///
/// Every daemon reads the whole list, at an interval that grows with the list's
/// size, so that the fleet as a whole still reads it often. Whoever finds a
/// change passes it to a few random peers, who do the same. Exchanges of
/// digests with random peers find what got lost on the way. No daemon has a
/// special part, so that none needs a successor.
///
/// Entries are ordered by the service's versions: an older one never replaces a
/// newer one, and a removal covers the versions up to its own. A list counts as
/// of the time at which its read was sent: it says nothing about what was
/// learnt after that.

#ifndef YUCCAMOOR_COORDINATION_MEMBERSHIP_MEMBER_REPLICA_H_
#define YUCCAMOOR_COORDINATION_MEMBERSHIP_MEMBER_REPLICA_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"
#include "yuccamoor/state/key_value.h"

namespace yuccamoor {

/// One change of the list.
struct MemberNews {
  std::string key;
  KvVersion version;
  /// The entry, or empty if it was removed.
  std::string value;

  bool removed() const { return value.empty(); }
  friend bool operator==(const MemberNews&, const MemberNews&) = default;
};

/// What two daemons tell each other.
struct MemberExchange {
  /// Of all entries of the sender.
  std::uint64_t digest = 0;
  std::vector<MemberNews> news;
};

/// Matches a peer's reply to its call.
using MemberCallId = NumberId<struct MemberCallIdTag>;

/// Starts an exchange with the peer.
struct MemberExchangeCall {
  MemberCallId id;
  /// "ip:port".
  std::string to;
  MemberExchange message;
};

/// What a replica asks for.
struct MemberReplicaActions {
  /// Whether to read the list of members.
  bool read = false;
  std::vector<MemberExchangeCall> exchanges;
};

/// How a replica works.
struct MemberReplicaOptions {
  std::uint64_t seed = 0;
  /// What reading the lists may cost, in bytes per second. Nothing: they are
  /// read at the least interval whatever it costs, also while reads fail.
  std::optional<std::int64_t> read_bytes_per_second = 500;
  /// Lists up to this size are read at the least interval: a fleet that small
  /// has too few readers for a change to be seen soon otherwise.
  std::size_t small_list_bytes = 8'192;
  /// The least time between two reads.
  DurationMs least_read_interval{1'000};
  /// Time between two exchanges that the replica starts without news.
  DurationMs exchange_interval{10'000};
  /// Time in which news are collected into one message.
  DurationMs push_interval{1'000};
  /// Peers that hear of news.
  std::size_t push_fanout = 4;
};

/// The replica. Not thread-safe.
class MemberReplica {
 public:
  MemberReplica(const MemberReplicaOptions& options, TimeMs now);

  /// Does what is due. Called at least every second.
  MemberReplicaActions Tick(TimeMs now);
  /// Takes the reply to a read that was sent at \p sent.
  void OnList(const KvReply& reply, TimeMs sent, TimeMs now);
  /// Takes the size of the list of VMs, which is read as often as the other.
  void OnVmListBytes(std::size_t bytes) { m_vm_bytes = bytes; }
  /// Takes what a write of this daemon's has changed.
  void OnWritten(const MemberNews& news, TimeMs now);
  /// Takes a peer's message and returns the answer.
  MemberExchange OnExchange(const MemberExchange& message, TimeMs now);
  /// Takes the answer, or nothing if none came in time.
  void OnExchangeReply(MemberCallId id,
                       const std::optional<MemberExchange>& reply, TimeMs now);

  /// Gives the addresses of the other daemons.
  void SetPeers(std::vector<std::string> peers) { m_peers = std::move(peers); }
  /// Reads at the next tick.
  void ReadSoon(TimeMs now);

  /// The time between two reads of the lists at their present size.
  DurationMs ReadInterval() const;
  /// Whether a list has been read.
  bool known() const { return m_known; }
  /// When the newest read began.
  TimeMs listed_at() const { return m_listed_at; }
  /// Every entry, as a KvList of all would give them.
  KvReply Entries() const;
  /// Whether the entries changed since the last call.
  bool TakeChanged();
  std::uint64_t digest() const { return m_digest; }

 private:
  struct Entry {
    KvVersion version;
    std::string value;
    TimeMs learnt;
  };
  struct Removal {
    KvVersion version;
    TimeMs learnt;
  };

  /// An exchange under way.
  struct Call {
    std::string peer;
    /// Whether it asks for news rather than brings them.
    bool asks = false;
  };

  /// Applies the change unless it is older than what is known.
  void Apply(const MemberNews& news, TimeMs now);
  void Remove(const std::string& key, KvVersion version, TimeMs now);
  void ApplyAll(const std::vector<MemberNews>& news, TimeMs now);
  void TakeListed(const KvEntry& entry, TimeMs sent, TimeMs now);
  void RemoveUnlisted(const KvReply& reply, TimeMs sent, TimeMs now);
  void Remember(const MemberNews& news);
  void PushNews(TimeMs now, MemberReplicaActions& actions);
  void StartExchange(const std::string& peer, std::vector<MemberNews> news,
                     MemberReplicaActions& actions);
  /// Returns the duration times a random factor around one.
  DurationMs Spread(DurationMs duration);
  double Random();
  std::string RandomPeer();

  MemberReplicaOptions m_options;
  pcg32 m_random;
  bool m_known = false;
  bool m_changed = false;
  bool m_read_pending = false;
  std::uint32_t m_read_failures = 0;
  std::size_t m_list_bytes = 0;
  std::size_t m_vm_bytes = 0;
  TimeMs m_listed_at;
  TimeMs m_next_read;
  TimeMs m_next_exchange;
  TimeMs m_next_push;
  std::uint64_t m_digest = 0;
  std::uint32_t m_mismatches = 0;
  std::map<std::string, Entry> m_entries;
  std::map<std::string, Removal> m_removals;
  /// Keys of the removals, oldest first.
  std::deque<std::string> m_removal_order;
  std::vector<std::string> m_peers;
  /// News that were not yet passed on.
  std::vector<MemberNews> m_unsent;
  /// The last news, for peers whose digest differs.
  std::deque<MemberNews> m_recent;
  MemberCallId m_last_call;
  std::map<MemberCallId, Call> m_calls;
  /// Peers that lack some of the recent news.
  std::vector<std::string> m_behind;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_MEMBERSHIP_MEMBER_REPLICA_H_
