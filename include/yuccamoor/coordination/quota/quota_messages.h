/// \file
/// \brief What nodes tell each other to keep tenants' quotas together. Each
/// message may be lost, late or doubled.

#ifndef YUCCAMOOR_COORDINATION_QUOTA_QUOTA_MESSAGES_H_
#define YUCCAMOOR_COORDINATION_QUOTA_QUOTA_MESSAGES_H_

#include <cstdint>
#include <variant>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/fleet/fleet_config.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor::fleet {

/// A group of tenants whose quotas one node issues.
using QuotaPool = NumberId<struct QuotaPoolTag>;

/// The pool of a tenant. The same on all nodes.
QuotaPool PoolOf(const TenantId& tenant);
/// The number of pools: few, so that few messages lend shares.
inline constexpr std::uint64_t kQuotaPools = 2;

/// A moment of one process of an issuer, by that process's clock. It says
/// nothing to others: they return it.
struct IssuerStamp {
  /// Differs for each process.
  std::uint64_t process = 0;
  TimeMs time;

  friend bool operator==(const IssuerStamp&, const IssuerStamp&) = default;
};

/// Lends a node's share of all quotas of a pool to the pool's issuer.
struct LendQuota {
  NodeId node;
  QuotaPool pool;
  /// Grows with each message of the node: one that comes late is ignored.
  std::uint64_t number = 0;
  /// The part of each quota, from 0 to 1. Zero ends a loan; a node without a
  /// share learns by the answer that the issuer lives.
  double share = 0;
  /// The newest stamp that the node has of this issuer. The share is lent from
  /// then on.
  IssuerStamp stamp;
};

/// Answers LendQuota.
struct AcceptQuota {
  NodeId issuer;
  QuotaPool pool;
  /// The number of the message, which was the node's latest.
  std::uint64_t number = 0;
  IssuerStamp stamp;
};

/// Asks a pool's issuer for credit of one tenant.
struct AskQuota {
  NodeId node;
  std::uint64_t number = 0;
  TenantId tenant;
  /// The quota by the asking node's configuration, and that one's version.
  QuotaSpec quota;
  Revision version;
  /// The units of the first request that waits, those of all that wait, and
  /// those together with what the node will probably use soon.
  double amount = 0;
  double waiting = 0;
  double wanted = 0;
  /// How long the requests can wait for them.
  DurationMs max_wait{0};
};

/// Answers AskQuota.
struct TellQuota {
  std::uint64_t number = 0;
  /// Units, at least what is needed; zero if there is no such credit in time.
  double granted = 0;
  /// If granted, when they may be used; otherwise when to ask again.
  DurationMs wait{0};
};

using QuotaMessage = std::variant<LendQuota, AcceptQuota, AskQuota, TellQuota>;

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_QUOTA_QUOTA_MESSAGES_H_
