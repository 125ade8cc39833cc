/// \file
/// \brief The configuration in force: an immutable snapshot of what operators
/// published, with the lookups that serving needs.

#ifndef YUCCAMOOR_STATE_CONFIG_SNAPSHOT_H_
#define YUCCAMOOR_STATE_CONFIG_SNAPSHOT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "yuccamoor/state/cell_state.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/fleet/fleet_config.h"
#include "yuccamoor/state/ids.h"
#include "yuccamoor/state/priority.h"

namespace yuccamoor {

/// Who owns a part of the configuration: the service beside whose code the
/// part's file is kept.
using OwnerId = StringId<struct OwnerIdTag>;

/// One adapter with the versions that may be served.
struct AdapterConfig {
  AdapterId id;
  CellId cell;
  std::vector<VersionId> versions;
  Priority priority = Priority::kNormal;
  OwnerId owner;
};

/// The adapters whose StableBucketHash is at least `first_hash` and below the
/// next bucket's, sorted by id.
struct AdapterBucket {
  std::uint64_t first_hash = 0;
  std::shared_ptr<const std::vector<AdapterConfig>> adapters;
};

/// One target of an alias with its share of callers.
struct AliasTarget {
  AdapterVersion target;
  std::uint32_t weight = 1;
};

/// A name that callers use; a stable hash of the caller's key picks the target.
struct AliasConfig {
  std::string name;
  std::vector<AliasTarget> targets;
};

/// A worker of a cell.
struct WorkerConfig {
  WorkerId id;
  /// "ip:port".
  std::string address;
  FailureDomainId failure_domain;
  VmId vm;
};

/// A cell: one model's workers in one region, and its weight store's limits.
struct CellConfig {
  CellId id;
  ModelId model;
  std::string region;
  std::vector<WorkerConfig> workers;
  double store_loads_per_second = 1;
  std::uint32_t store_max_in_flight = 8;
  DurationMs load_time{250};
  /// Whether the engines refuse orders with an old fencing number.
  bool engines_check_epoch = false;
  ObjectiveWeights weights;
};

/// One endpoint of a plain service.
struct EndpointConfig {
  EndpointId id;
  /// "ip:port".
  std::string address;
  FailureDomainId failure_domain;
  VmId vm;
};

/// A call of a plain service that may run at most once.
struct NonIdempotentCall {
  std::string method;
  std::string path_prefix;
};

/// A plain service.
struct ServiceConfig {
  ServiceId id;
  std::vector<EndpointConfig> endpoints;
  std::vector<NonIdempotentCall> non_idempotent;
  DurationMs timeout{10'000};
  /// Requests per second over all gateways; zero: no limit.
  double requests_per_second = 0;
};

/// A tenant: callers that share priority and quota.
struct TenantConfig {
  TenantId id;
  /// Each names this tenant. Secret: never logged nor shown.
  std::vector<std::string> keys;
  /// Precedes that of the adapter.
  std::optional<Priority> priority;
  fleet::QuotaSpec quota;
};

/// An immutable configuration revision. Parts are shared between revisions, so
/// that a new revision costs what changed.
class ConfigSnapshot {
 public:
  using AdapterMap =
      std::unordered_map<AdapterId, std::shared_ptr<const AdapterConfig>>;

  Revision revision;
  std::map<CellId, std::shared_ptr<const CellConfig>> cells;
  std::map<ServiceId, std::shared_ptr<const ServiceConfig>> services;
  std::map<std::string, std::shared_ptr<const AliasConfig>, std::less<>>
      aliases;
  std::map<TenantId, std::shared_ptr<const TenantConfig>> tenants;
  /// The adapters of a snapshot that was made by hand; unused if there are
  /// buckets.
  std::shared_ptr<const AdapterMap> adapters;
  /// The adapters of a published revision, by rising first hash; the first
  /// bucket's is zero.
  std::vector<AdapterBucket> adapter_buckets;

  /// Returns the adapter, or null.
  const AdapterConfig* FindAdapter(const AdapterId& id) const;
  /// Returns the cell, or null.
  const CellConfig* FindCell(const CellId& id) const;
  /// Returns the service, or null.
  const ServiceConfig* FindService(const ServiceId& id) const;

  /// Resolves "adapter@version" or an alias to a target. The caller key picks
  /// among an alias's targets; the same key always picks the same one. Returns
  /// nothing if the name or the version is unknown.
  std::optional<AdapterVersion> Resolve(std::string_view model,
                                        std::string_view caller_key) const;

  /// Whether the call may run at most once.
  static bool IsNonIdempotent(const ServiceConfig& service,
                              std::string_view method, std::string_view path);
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_STATE_CONFIG_SNAPSHOT_H_
