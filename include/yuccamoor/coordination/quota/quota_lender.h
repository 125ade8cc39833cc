/// \file
/// \brief Decides to which issuer a node lends its share of a pool's quotas.

#ifndef YUCCAMOOR_COORDINATION_QUOTA_QUOTA_LENDER_H_
#define YUCCAMOOR_COORDINATION_QUOTA_QUOTA_LENDER_H_

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "yuccamoor/coordination/quota/quota_messages.h"
#include "yuccamoor/coordination/quota/quota_share.h"

namespace yuccamoor::fleet {

/// One node's side of one pool. The issuer is the first of the registered nodes
/// by rendezvous hashing that answers. A share that was lent is not used
/// otherwise until the time of the loan is over, whether or not the issuer got
/// the message.
class QuotaLender {
 public:
  QuotaLender(NodeId self, QuotaPool pool, const QuotaTimes& times)
      : m_self(std::move(self)), m_pool(pool), m_times(times) {}

  /// Chooses the issuer anew.
  void SetNodes(const std::map<NodeId, NodeRecord>& nodes, TimeMs now);
  /// Returns the message to the issuer, where one is due.
  std::optional<LendQuota> OnTick(double share, TimeMs now);
  /// Takes the issuer's answer. Returns whether to lend at once, as that issuer
  /// can use the share only from its second message on.
  bool OnAccept(const AcceptQuota& accept, TimeMs now);

  /// The issuer to lend to and to ask; this node itself if no other one answers
  /// or it is the first.
  const NodeId& issuer() const { return m_issuer; }
  /// Whether the share may be used by this node as an issuer.
  bool IsFree(TimeMs now) const { return now >= m_lent_until; }

 private:
  void Choose(TimeMs now);

  NodeId m_self;
  QuotaPool m_pool;
  QuotaTimes m_times;
  std::set<NodeId> m_nodes;
  std::vector<NodeId> m_ranked;
  // Issuers that have not answered, and until when they are passed over.
  std::map<NodeId, TimeMs> m_silent;
  NodeId m_issuer = m_self;
  IssuerStamp m_stamp;
  TimeMs m_chosen;
  TimeMs m_answered;
  TimeMs m_told;
  // The node to which the share was lent last.
  NodeId m_lent_to;
  TimeMs m_lent_until;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_QUOTA_QUOTA_LENDER_H_
