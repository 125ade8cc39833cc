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
#include <deque>
#include <functional>
#include <map>
#include <optional>
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
  void Drop(std::uint64_t number);
  /// Takes back what was granted at \p granted to a request that has not run.
  /// Other requests of this node may use it for a moment after that time.
  void Return(const TenantId& tenant, double amount, TimeMs granted);

  const QuotaIssuer& issuer() const { return m_issuer; }
  /// The node that this one lends its share of the pool to, and asks.
  const NodeId& IssuerOf(QuotaPool pool) const {
    return m_lenders.at(pool.value()).issuer();
  }
  const QuotaShare& share() const { return m_share; }

 private:
  // A request that waits for credit.
  struct Waiting {
    std::uint64_t number = 0;
    double amount = 0;
    TimeMs latest;
    OnDecision on_decision;
  };
  // Credit that is used up or lost soon after it was asked for.
  struct Credit {
    double units = 0;
    TimeMs until;
  };
  // A question to the issuer. A tenant has one at a time, for all its requests
  // that wait, so that a tenant with many requests does not overload the
  // issuer.
  struct Question {
    AskQuota ask;
    TimeMs asked;
    TimeMs last_sent;
  };
  struct Account {
    QuotaSpec quota;
    Revision version;
    std::deque<Waiting> waiting;
    std::optional<Question> question;
    TimeMs next_question;
    std::vector<Credit> credit;
    // Units a second that the node's requests need, as a moving average.
    double use_per_second = 0;
    TimeMs used;
    // The tenant was at its limit then, and until then.
    std::optional<TimeMs> refused;
    TimeMs available;
  };
  // A decision to tell once the accounts are up to date: whoever is told may
  // ask again.
  struct Decided {
    OnDecision on_decision;
    QuotaDecision decision;
  };
  using Decisions = std::vector<Decided>;

  void OnAccept(const AcceptQuota& accept, TimeMs now);
  void OnTell(const TellQuota& told, TimeMs now);
  void Lend(QuotaLender& lender, TimeMs now);
  void SendQuestion(const TenantId& tenant, Account& account, TimeMs now);
  void AskIssuer(const AskQuota& ask, TimeMs now);
  void TakeAnswer(Account& account, const TellQuota& told, TimeMs now,
                  Decisions& decisions);
  void CheckQuestion(const TenantId& tenant, Account& account, TimeMs now,
                     Decisions& decisions);
  static void ServeWaiting(Account& account, TimeMs now, Decisions& decisions);
  static void RefuseWaiting(Account& account, TimeMs now, Decisions& decisions);
  static bool IsRefused(const Account& account, DurationMs max_wait,
                        TimeMs now);
  static bool TakeCredit(Account& account, double amount, TimeMs now);
  static void NoteUse(Account& account, double amount, TimeMs now);
  static void Tell(const Decisions& decisions);
  QuotaLender& LenderOf(const TenantId& tenant);

  NodeId m_self;
  Send m_send;
  QuotaShare m_share;
  QuotaIssuer m_issuer;
  std::vector<QuotaLender> m_lenders;
  TimeMs m_viewed;
  std::map<TenantId, Account> m_accounts;
  // The tenants of the questions that are open.
  std::map<std::uint64_t, TenantId> m_questions;
  std::uint64_t m_next_number;
  bool m_in_use = false;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_QUOTA_TENANT_QUOTAS_H_
