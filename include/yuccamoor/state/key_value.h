/// \file
/// \brief Requests to the platform's key-value service and their replies, as
/// plain data that decision code issues and consumes.

#ifndef YUCCAMOOR_STATE_KEY_VALUE_H_
#define YUCCAMOOR_STATE_KEY_VALUE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor {

/// The service's version of one key. Zero: the key does not exist. A version
/// is never used again for the same key, also after a delete.
using KvVersion = NumberId<struct KvVersionTag>;
/// A lease of the service; keys bound to it vanish when it lapses.
using KvLease = NumberId<struct KvLeaseTag>;

/// The largest value that the service holds, in bytes.
constexpr std::size_t kKvMaxValueBytes = 1'000'000;

/// Reads one key.
struct KvGet {
  std::string key;
};

/// Reads every key that starts with the prefix.
struct KvList {
  std::string prefix;
};

/// Writes the value if the key's version is still the expected one. With a
/// lease other than zero, the key vanishes when that lease lapses.
struct KvCompareAndSwap {
  std::string key;
  KvVersion expected;
  std::string value;
  KvLease lease;
};

/// Deletes the key if its version is still the expected one.
struct KvDelete {
  std::string key;
  KvVersion expected;
};

/// Waits until some key under the prefix has a version above the given one,
/// then reads every key under the prefix. Returns kOk with the unchanged
/// entries when the wait ends first.
struct KvWatch {
  std::string prefix;
  KvVersion after;
  DurationMs wait;
};

/// Creates a lease with the given time to live.
struct KvLeaseGrant {
  DurationMs ttl;
};

/// Starts the lease's time to live anew.
struct KvLeaseRenew {
  KvLease lease;
};

using KvRequest = std::variant<KvGet, KvList, KvCompareAndSwap, KvDelete,
                               KvWatch, KvLeaseGrant, KvLeaseRenew>;

/// How a call ended.
enum class KvStatus : std::uint8_t {
  kOk,
  /// The version was not the expected one; nothing was written.
  kConflict,
  kNotFound,
  /// The call was refused before it took effect: rate limit.
  kRateLimited,
  /// The value is larger than the service holds.
  kTooLarge,
  /// No connection was made: the call did not take effect.
  kUnavailable,
  /// The answer was lost or late: a write may have taken effect.
  kUnknown,
};

/// One key with its value.
struct KvEntry {
  std::string key;
  std::string value;
  KvVersion version;
};

/// A call's answer. On kOk a read carries its entries, a write the new version
/// of its key, a lease call the lease. On kConflict the entries hold the
/// current entry if the key exists.
struct KvReply {
  KvStatus status = KvStatus::kUnknown;
  std::vector<KvEntry> entries;
  KvVersion version;
  KvLease lease;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_STATE_KEY_VALUE_H_
