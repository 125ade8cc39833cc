/// \file
/// \brief Interface to the store shared by a fleet of nodes. It holds the data
/// that the operator and the endpoints write, and the nodes' own records.

#ifndef YUCCAMOOR_COORDINATION_FLEET_FLEET_STORE_H_
#define YUCCAMOOR_COORDINATION_FLEET_FLEET_STORE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/fleet/endpoint_entry.h"
#include "yuccamoor/state/fleet/fleet_config.h"

namespace yuccamoor::fleet {

/// A lease granted by the store. Records bound to it are removed when it ends.
using StoreLease = NumberId<struct StoreLeaseTag>;

/// The era of the store's content. A new one begins when the store comes back
/// with an older copy: what the nodes have written since that copy is gone,
/// leases too, and revisions and leases are numbered again from there. Zero if
/// the store names none.
using StoreEra = NumberId<struct StoreEraTag>;

/// The operator wrote a configuration.
struct ConfigWritten {
  FleetConfig config;
};
/// The operator published a version of an adapter.
struct AdapterRevisionPublished {
  AdapterRef adapter;
  AdapterRevision revision;
};
/// An endpoint registered or changed its entry.
struct EndpointWritten {
  EndpointEntry entry;
};
/// An endpoint's entry was removed, or no longer describes a usable endpoint.
struct EndpointRemoved {
  EndpointId id;
};
/// One of the nodes' own records was written.
struct RecordWritten {
  std::string key;
  std::string value;
  Revision revision;
  /// The era in which it was read or written: its revision is unique there.
  StoreEra era{};
};
/// One of the nodes' own records was removed.
struct RecordRemoved {
  std::string key;
};

using StoreChange =
    std::variant<ConfigWritten, AdapterRevisionPublished, EndpointWritten,
                 EndpointRemoved, RecordWritten, RecordRemoved>;

/// The result of a call to the store.
enum class StoreStatus : std::uint8_t {
  kOk,
  /// The record's revision was not the expected one; nothing was written.
  kConflict,
  /// The lease has ended.
  kLeaseEnded,
  /// The requested changes have been compacted away: call ReadAll again.
  kCompacted,
  /// The store rejected the call; nothing was done.
  kRefused,
  /// No response: a write may still take effect later if its condition holds
  /// then.
  kUnknown,
};

/// The status's name in logs.
const char* ToText(StoreStatus status);

/// The result of ReadAll or Watch.
struct StoreReadResult {
  StoreStatus status = StoreStatus::kUnknown;
  std::vector<StoreChange> changes;
  /// The revision to pass to the next Watch, and the era that it belongs to.
  Revision read_revision;
  StoreEra era;
  /// The latest revision of which changes may be contained: pages are read one
  /// after the other, and later ones may go beyond read_revision.
  Revision newest_revision;
  /// For logs: what was asked for and what came, if the status is not kOk.
  std::string failure;
};

/// How a read of the store is made.
struct ReadOptions {
  /// The store answers a watch within this time, also without changes.
  DurationMs wait{0};
  /// Without an answer within this time, a call has failed.
  DurationMs timeout{0};
  /// Whether to use a new connection, as kept ones may have fallen silent.
  bool new_connection = false;
  /// Called, if set, each time a part of the answer has come. If it returns
  /// false, the answer is not needed any more and the read ends as unanswered.
  std::function<bool()> on_progress;
};

struct LeaseReply {
  StoreStatus status = StoreStatus::kUnknown;
  StoreLease lease;
};

struct WriteReply {
  StoreStatus status = StoreStatus::kUnknown;
  Revision revision;
  StoreEra era;
};

/// Asynchronous calls to the store. Each callback is invoked exactly once, on
/// the caller's event loop, no later than the call's timeout.
class FleetStore {
 public:
  virtual ~FleetStore() = default;

  /// Has \p on_new_era called with each era after the first one that an answer
  /// shows, before that answer's own callback. Answers of earlier eras that
  /// come later count as none: what they say may be gone.
  virtual void ListenForEras(std::function<void(StoreEra)> on_new_era) = 0;

  /// Reads everything. Each page is linearizable, but the pages together are
  /// not a snapshot, so the changes after read_revision must be read as well.
  virtual void ReadAll(ReadOptions options,
                       std::function<void(StoreReadResult)> done) = 0;
  /// Waits for changes after the revision.
  virtual void Watch(Revision after, ReadOptions options,
                     std::function<void(StoreReadResult)> done) = 0;

  virtual void GrantLease(DurationMs ttl,
                          std::function<void(LeaseReply)> done) = 0;
  virtual void RenewLease(StoreLease lease, DurationMs timeout,
                          std::function<void(StoreStatus)> done) = 0;
  virtual void EndLease(StoreLease lease,
                        std::function<void(StoreStatus)> done) = 0;
  /// Writes a record bound to the lease. Fails with kConflict if it exists.
  virtual void CreateRecord(std::string key, std::string value,
                            StoreLease lease,
                            std::function<void(WriteReply)> done) = 0;
  /// Writes a record bound to the lease, whether it exists or not.
  virtual void WriteRecord(std::string key, std::string value, StoreLease lease,
                           std::function<void(WriteReply)> done) = 0;
  /// Writes a lasting record, which no lease ends. Fails with kConflict if it
  /// has not the expected revision; zero expects none to be there.
  virtual void PutRecord(std::string key, std::string value, Revision expected,
                         std::function<void(WriteReply)> done) = 0;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_FLEET_STORE_H_
