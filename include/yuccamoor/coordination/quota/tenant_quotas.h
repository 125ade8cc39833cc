/// \file
/// \brief One node's part in keeping tenants' quotas over all nodes.
///
/// Load pattern: a tenant's clients are connected to a few of many nodes, by
/// chance, and one tenant may send many times its usual. An even split would
/// refuse most tenants below their limit. So each node lends its share of the
/// quotas to one issuer, which sees all requests of a tenant.

#ifndef YUCCAMOOR_COORDINATION_QUOTA_TENANT_QUOTAS_H_
#define YUCCAMOOR_COORDINATION_QUOTA_TENANT_QUOTAS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "yuccamoor/coordination/quota/quota_issuer.h"
#include "yuccamoor/coordination/quota/quota_lender.h"
#include "yuccamoor/coordination/quota/quota_messages.h"
#include "yuccamoor/coordination/quota/quota_share.h"

namespace yuccamoor::fleet {

/// What a request needs of its tenant's quota.
struct QuotaNeed {
  TenantId tenant;
  QuotaSpec quota;
  /// The version of the configuration that states the quota.
  Revision version;
  /// Units.
  double amount = 0;
  /// How long the request can wait.
  DurationMs max_wait{0};
};

enum class QuotaVerdict : std::uint8_t {
  /// The request counts and may run after the wait.
  kGranted,
  /// The tenant is at its limit until the wait is over.
  kOverQuota,
  /// No issuer answers; nothing is known of the limit.
  kNoAnswer,
};

struct QuotaDecision {
  QuotaVerdict verdict = QuotaVerdict::kNoAnswer;
  DurationMs wait{0};
};

/// The decisions. Messages and times come in, messages go out by the callback.
class TenantQuotas {
 public:
  using Send = std::function<void(const NodeId&, const QuotaMessage&)>;
  using OnDecision = std::function<void(const QuotaDecision&)>;

  /// \p process differs for each process of each node.
  TenantQuotas(NodeId self, std::uint64_t process, const QuotaTimes& times,
               TimeMs started, Send send);

  /// Takes up the registered nodes and the members that share the quotas, as
  /// the store had them at \p current_at, and lends this node's share. \p
  /// in_use tells whether any tenant has a limit: without one, nothing is sent.
  void OnTick(const std::map<NodeId, NodeRecord>& nodes,
              const QuotaMembers& members,
              const std::optional<TimeMs>& current_at, bool in_use, TimeMs now);
  void OnMessage(const QuotaMessage& message, TimeMs now);

  /// Asks whether a request may run. \p on_decision is called once, at once or
  /// later, unless the question is dropped before. Returns its number.
  std::uint64_t Ask(const QuotaNeed& need, OnDecision on_decision, TimeMs now);
  /// The request has gone.
  void Drop(std::uint64_t number) { m_questions.erase(number); }
  /// Takes back what was granted at \p granted to a request that has not run.
  /// Other requests of this node may use it for a moment after that time.
  void Return(const TenantId& tenant, double amount, TimeMs granted);

  const QuotaIssuer& issuer() const { return m_issuer; }
  const QuotaShare& share() const { return m_share; }

 private:
  struct Question {
    QuotaNeed need;
    OnDecision on_decision;
    TimeMs asked;
    TimeMs last_sent;
  };
  // Credit that is used up or lost soon after it was asked for.
  struct Credit {
    double units = 0;
    TimeMs until;
  };
  struct Account {
    std::vector<Credit> credit;
    // Units a second that the node's requests need, as a moving average.
    double use_per_second = 0;
    TimeMs used;
    // Until then the tenant is at its limit, by the issuer's last answer.
    TimeMs refused_until;
  };

  void OnLend(const LendQuota& lend, TimeMs now);
  void OnAccept(const AcceptQuota& accept, TimeMs now);
  void OnTell(const TellQuota& told, TimeMs now);
  void Lend(QuotaLender& lender, TimeMs now);
  void SendAsk(std::uint64_t number, Question& question, TimeMs now);
  void Decide(std::uint64_t number, const QuotaDecision& decision);
  void CheckQuestions(TimeMs now);
  bool TakeCredit(Account& account, double amount, TimeMs now);
  static void NoteUse(Account& account, double amount, TimeMs now);
  QuotaLender& LenderOf(const TenantId& tenant);

  NodeId m_self;
  Send m_send;
  QuotaShare m_share;
  QuotaIssuer m_issuer;
  std::vector<QuotaLender> m_lenders;
  TimeMs m_viewed;
  std::map<TenantId, Account> m_accounts;
  std::map<std::uint64_t, Question> m_questions;
  std::uint64_t m_next_number;
  bool m_in_use = false;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_QUOTA_TENANT_QUOTAS_H_
