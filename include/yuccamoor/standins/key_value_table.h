/// \file
/// \brief The table of the key-value stand-in, apart from its transport. Takes
/// the time as an argument, so that tests can use it as an in-memory fake.

#ifndef YUCCAMOOR_STANDINS_KEY_VALUE_TABLE_H_
#define YUCCAMOOR_STANDINS_KEY_VALUE_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/key_value.h"

namespace yuccamoor {

/// Keys with versions from one counter, and leases. Not thread-safe.
class KeyValueTable {
 public:
  /// Applies the request at \p now. A watch is answered at once with what is
  /// there; WatchReady tells whether it would have waited.
  KvReply Apply(const KvRequest& request, TimeMs now);

  /// Whether some key under the watch's prefix has a version above its own.
  bool WatchReady(const KvWatch& watch, TimeMs now);

 private:
  struct Record {
    std::string value;
    KvVersion version;
    KvLease lease;
  };
  struct Lease {
    DurationMs ttl;
    TimeMs expires;
  };

  KvReply Do(const KvGet& request, TimeMs now);
  KvReply Do(const KvList& request, TimeMs now);
  KvReply Do(const KvCompareAndSwap& request, TimeMs now);
  KvReply Do(const KvDelete& request, TimeMs now);
  KvReply Do(const KvWatch& request, TimeMs now);
  KvReply Do(const KvLeaseGrant& request, TimeMs now);
  KvReply Do(const KvLeaseRenew& request, TimeMs now);

  void ExpireLeases(TimeMs now);
  /// Returns kConflict with the current entry if the version is another.
  KvReply Check(const std::string& key, KvVersion expected) const;
  KvReply ReadPrefix(const std::string& prefix) const;

  std::map<std::string, Record> m_records;
  std::unordered_map<KvLease, Lease> m_leases;
  KvVersion m_last_version;
  KvLease m_last_lease;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_STANDINS_KEY_VALUE_TABLE_H_
