/// \file
/// \brief Issues credit of tenants' quotas from the shares that nodes lend.

#ifndef YUCCAMOOR_COORDINATION_QUOTA_QUOTA_ISSUER_H_
#define YUCCAMOOR_COORDINATION_QUOTA_QUOTA_ISSUER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

#include "yuccamoor/coordination/quota/quota_bucket.h"
#include "yuccamoor/coordination/quota/quota_messages.h"
#include "yuccamoor/coordination/quota/quota_share.h"

namespace yuccamoor::fleet {

/// The issuer of one node, for whatever pools nodes lend it shares of. Each
/// share flows into one issuer at a time, and what an issuer has saved up is
/// bounded by the shares that it has. So what all issuers grant together stays
/// within each quota, however many nodes believe that they issue for a pool.
class QuotaIssuer {
 public:
  /// \p process differs for each process of each node.
  QuotaIssuer(NodeId self, std::uint64_t process, const QuotaTimes& times)
      : m_self(std::move(self)), m_process(process), m_times(times) {}

  /// Takes a share that a node lends. A share counts from the stamp that the
  /// node returns, and for the time for which shares are lent: it is over here
  /// before the node uses it otherwise, however late the message comes.
  AcceptQuota OnLend(const LendQuota& lend, TimeMs now);
  /// Sets the share of the pool that this node itself uses here; zero while it
  /// is lent to another node.
  void SetOwnShare(QuotaPool pool, double share, TimeMs now);
  /// Grants credit, or tells when to ask again. A question that is repeated
  /// soon gets the same answer once more.
  TellQuota OnAsk(const AskQuota& ask, TimeMs now);
  /// Ends shares that are over, and forgets tenants that nobody asks for.
  void OnTick(TimeMs now);

  /// The shares of the pool that flow into this issuer.
  double ShareOf(QuotaPool pool) const;
  std::size_t tenants() const { return m_accounts.size(); }

 private:
  struct Lent {
    std::uint64_t number = 0;
    double share = 0;
    // The node's share has flown in here, without a break, since then.
    TimeMs since;
    TimeMs until;
  };
  struct Account {
    QuotaSpec quota;
    Revision version;
    QuotaBucket bucket;
    TimeMs asked;
  };
  using Lenders = std::map<NodeId, Lent>;
  struct Answer {
    TellQuota told;
    TimeMs at;
  };

  TellQuota Grant(const AskQuota& ask, TimeMs now);
  // What is granted besides the first request's units: those of others that
  // wait, and while much is saved up, some ahead of need.
  static double Further(const AskQuota& ask, const QuotaBucket& bucket);

  void EndShares(TimeMs now);
  Account& AccountFor(const AskQuota& ask, TimeMs now);
  void SetFlow(const TenantId& tenant, Account& account, TimeMs now) const;
  void UpdateFlows(QuotaPool pool, TimeMs now);
  // What the shares of the pool have saved up of a quota that nobody used.
  double SavedUp(QuotaPool pool, const QuotaSpec& quota, TimeMs now) const;

  NodeId m_self;
  std::uint64_t m_process;
  QuotaTimes m_times;
  std::map<QuotaPool, Lenders> m_lenders;
  std::map<TenantId, Account> m_accounts;
  // The latest answers, by the asking node and its number.
  std::map<std::pair<NodeId, std::uint64_t>, Answer> m_answers;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_QUOTA_QUOTA_ISSUER_H_
