/// \file
/// \brief Decides to which issuer a node lends its share of a pool's quotas.

#ifndef YUCCAMOOR_COORDINATION_QUOTA_QUOTA_LENDER_H_
#define YUCCAMOOR_COORDINATION_QUOTA_QUOTA_LENDER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "yuccamoor/coordination/quota/quota_messages.h"
#include "yuccamoor/coordination/quota/quota_share.h"

namespace yuccamoor::fleet {

/// One node's side of one pool. The issuer is the first of the members by
/// rendezvous hashing that answers. A share that was lent is not used
/// otherwise until the time of the loan is over, whether or not the issuer got
/// the message, or the issuer has confirmed that the loan has ended.
class QuotaLender {
 public:
  QuotaLender(NodeId self, QuotaPool pool, const QuotaTimes& times)
      : m_self(std::move(self)), m_pool(pool), m_times(times) {}

  /// A message to an issuer.
  struct Outgoing {
    NodeId to;
    LendQuota lend;
  };

  /// Chooses the issuer anew. Members that are not registered may issue: the
  /// store may have lost them, or turn them away, while all nodes reach them.
  void SetNodes(const QuotaMembers& members,
                const std::map<NodeId, NodeRecord>& registered, TimeMs now);
  /// Returns the messages that are due: to the issuer, and to an earlier one
  /// whose loan is to end.
  std::vector<Outgoing> OnTick(double share, TimeMs now);
  /// Takes the issuer's answer. Returns whether to lend at once, as that issuer
  /// can use the share only from its second message on.
  bool OnAccept(const AcceptQuota& accept, TimeMs now);

  /// The issuer to lend to and to ask; this node itself if no other one answers
  /// or it is the first.
  const NodeId& issuer() const { return m_issuer; }
  /// Whether the share may be used by this node as an issuer.
  bool IsFree(TimeMs now) const { return now >= m_lent_until; }

 private:
  void Rank();
  void Choose(TimeMs now);
  void CheckSilence(TimeMs now);
  LendQuota Lend(double share, const IssuerStamp& stamp);

  NodeId m_self;
  QuotaPool m_pool;
  QuotaTimes m_times;
  QuotaMembers m_members;
  std::vector<NodeId> m_ranked;
  // Issuers that have not answered, and until when they are passed over at
  // least.
  std::map<NodeId, TimeMs> m_silent;
  NodeId m_issuer = m_self;
  IssuerStamp m_stamp;
  TimeMs m_chosen;
  TimeMs m_answered;
  TimeMs m_told;
  std::uint64_t m_last_number = 0;
  // The node to which the share was lent last, by the newest stamp of it.
  NodeId m_lent_to;
  IssuerStamp m_lent_stamp;
  TimeMs m_lent_until;
  // The number of the latest message that ends this loan, while it is awaited.
  std::optional<std::uint64_t> m_ending;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_QUOTA_QUOTA_LENDER_H_
