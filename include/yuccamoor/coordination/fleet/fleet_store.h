/// \file
/// \brief Interface to the store that a fleet of nodes shares: what its
/// operator and endpoints write, and the nodes' own records.

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

/// A lease of the store; its records vanish when it ends.
using StoreLease = NumberId<struct StoreLeaseTag>;

/// The operator has written a configuration.
struct ConfigWritten {
  FleetConfig config;
};
/// The operator has named a version of an adapter.
struct AdapterRevisionPublished {
  AdapterRef adapter;
  AdapterRevision revision;
};
/// An endpoint has registered itself or changed its entry.
struct EndpointWritten {
  EndpointEntry entry;
};
/// An endpoint's entry is gone, or names no endpoint to use any more.
struct EndpointRemoved {
  EndpointId id;
};
/// A record of the nodes' own was written.
struct RecordWritten {
  std::string key;
  std::string value;
  Revision revision;
};
struct RecordRemoved {
  std::string key;
};

using StoreChange =
    std::variant<ConfigWritten, AdapterRevisionPublished, EndpointWritten,
                 EndpointRemoved, RecordWritten, RecordRemoved>;

/// How a call ended.
enum class StoreStatus : std::uint8_t {
  kOk,
  /// The record's revision was not the expected one; nothing was written.
  kConflict,
  /// The lease has ended.
  kLeaseEnded,
  /// The changes asked for are no longer kept: read everything anew.
  kCompacted,
  /// Refused; nothing was done.
  kRefused,
  /// No answer: a write may take effect later if its condition still holds.
  kUnknown,
};

/// A reading of everything, or of the changes after a revision.
struct StoreReadResult {
  StoreStatus status = StoreStatus::kUnknown;
  std::vector<StoreChange> changes;
  /// The revision to continue from.
  Revision read_revision;
};

struct LeaseReply {
  StoreStatus status = StoreStatus::kUnknown;
  StoreLease lease;
};

struct WriteReply {
  StoreStatus status = StoreStatus::kUnknown;
  Revision revision;
};

/// Calls to the store. Each callback is called exactly once, from the event
/// loop of the caller, no later than the call's time limit.
class FleetStore {
 public:
  virtual ~FleetStore() = default;

  /// Reads everything, linearizable page by page; the pages together are no
  /// snapshot, so the changes after read_revision have to be read as well.
  virtual void ReadAll(std::function<void(StoreReadResult)> done) = 0;
  /// Waits for changes after the revision.
  virtual void Watch(Revision after, DurationMs wait,
                     std::function<void(StoreReadResult)> done) = 0;

  virtual void GrantLease(DurationMs ttl,
                          std::function<void(LeaseReply)> done) = 0;
  virtual void RenewLease(StoreLease lease, DurationMs timeout,
                          std::function<void(StoreStatus)> done) = 0;
  virtual void EndLease(StoreLease lease,
                        std::function<void(StoreStatus)> done) = 0;
  /// Writes a record that must not exist yet, bound to the lease.
  virtual void CreateRecord(std::string key, std::string value,
                            StoreLease lease,
                            std::function<void(WriteReply)> done) = 0;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_FLEET_STORE_H_
