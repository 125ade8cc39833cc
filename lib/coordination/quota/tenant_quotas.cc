#include "yuccamoor/coordination/quota/tenant_quotas.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <variant>

namespace yuccamoor::fleet {

namespace {

constexpr double kMsPerSecond = 1'000;
// Some round trips between failure domains, with late wake-ups.
constexpr DurationMs kAskAgain{60};
constexpr DurationMs kNoAnswerTime{200};
// A node asks for what it uses in this time, so that most requests wait for no
// answer. Also how long such credit may be used after it was asked for.
constexpr DurationMs kAheadTime{400};
// A tenant at its limit is asked for again at least this often, since others
// may have returned credit.
constexpr DurationMs kMaxRefusedTime{250};
constexpr DurationMs kViewInterval{100};
constexpr DurationMs kUseTime{1'000};
constexpr DurationMs kUnusedTime{10'000};
// Where no issuer answers, another one will have been chosen by then.
constexpr DurationMs kNoAnswerRetryAfter{500};

}  // namespace

TenantQuotas::TenantQuotas(NodeId self, std::uint64_t process,
                           const QuotaTimes& times, TimeMs started, Send send)
    : m_self(std::move(self)),
      m_send(std::move(send)),
      m_share(m_self, times, started),
      m_issuer(m_self, process, times),
      // Answers to an earlier process must not be taken for this one's.
      m_next_number(process) {
  for (std::uint64_t pool = 0; pool < kQuotaPools; ++pool) {
    m_lenders.emplace_back(m_self, QuotaPool(pool), times);
  }
}

QuotaLender& TenantQuotas::LenderOf(const TenantId& tenant) {
  return m_lenders[PoolOf(tenant).value()];
}

void TenantQuotas::OnTick(const std::map<NodeId, NodeRecord>& nodes,
                          const QuotaMembers& members,
                          const std::optional<TimeMs>& current_at, bool in_use,
                          TimeMs now) {
  m_in_use = in_use;
  if (now - m_viewed >= kViewInterval) {
    m_viewed = now;
    m_share.OnMembers(members, current_at, now);
    for (QuotaLender& lender : m_lenders) lender.SetNodes(nodes, now);
  }
  m_issuer.OnTick(now);
  for (QuotaLender& lender : m_lenders) Lend(lender, now);
  CheckQuestions(now);
  std::erase_if(m_accounts, [now](const auto& item) {
    return now - item.second.used > kUnusedTime;
  });
}

void TenantQuotas::Lend(QuotaLender& lender, TimeMs now) {
  const double part = m_share.Part(now);
  const QuotaPool pool(static_cast<std::uint64_t>(&lender - m_lenders.data()));
  // What this node itself issues is not lent at the same time.
  if (lender.issuer() != m_self) m_issuer.SetOwnShare(pool, 0, now);
  if (m_in_use) {
    if (const auto lend = lender.OnTick(part, now)) {
      m_send(lender.issuer(), *lend);
    }
  }
  const bool issues = lender.issuer() == m_self && lender.IsFree(now);
  m_issuer.SetOwnShare(pool, issues ? part : 0, now);
}

void TenantQuotas::OnMessage(const QuotaMessage& message, TimeMs now) {
  if (const auto* lend = std::get_if<LendQuota>(&message)) {
    m_send(lend->node, m_issuer.OnLend(*lend, now));
  } else if (const auto* accept = std::get_if<AcceptQuota>(&message)) {
    OnAccept(*accept, now);
  } else if (const auto* ask = std::get_if<AskQuota>(&message)) {
    m_send(ask->node, m_issuer.OnAsk(*ask, now));
  } else if (const auto* told = std::get_if<TellQuota>(&message)) {
    OnTell(*told, now);
  }
}

void TenantQuotas::OnAccept(const AcceptQuota& accept, TimeMs now) {
  if (accept.pool.value() >= m_lenders.size()) return;
  QuotaLender& lender = m_lenders[accept.pool.value()];
  if (lender.OnAccept(accept, now)) Lend(lender, now);
}

void TenantQuotas::NoteUse(Account& account, double amount, TimeMs now) {
  const auto elapsed = static_cast<double>((now - account.used).ms());
  const double kept = std::exp(-elapsed / static_cast<double>(kUseTime.ms()));
  account.use_per_second =
      account.use_per_second * kept +
      amount * kMsPerSecond / static_cast<double>(kUseTime.ms());
  account.used = now;
}

bool TenantQuotas::TakeCredit(Account& account, double amount, TimeMs now) {
  std::erase_if(account.credit,
                [now](const Credit& credit) { return now >= credit.until; });
  double sum = 0;
  for (const Credit& credit : account.credit) sum += credit.units;
  if (sum < amount) return false;
  for (Credit& credit : account.credit) {
    const double taken = std::min(credit.units, amount);
    credit.units -= taken;
    amount -= taken;
  }
  return true;
}

std::uint64_t TenantQuotas::Ask(const QuotaNeed& need, OnDecision on_decision,
                                TimeMs now) {
  const std::uint64_t number = m_next_number++;
  Account& account = m_accounts[need.tenant];
  NoteUse(account, need.amount, now);
  if (TakeCredit(account, need.amount, now)) {
    on_decision({QuotaVerdict::kGranted, DurationMs(0)});
    return number;
  }
  if (account.refused_until > now + need.max_wait) {
    on_decision({QuotaVerdict::kOverQuota, account.refused_until - now});
    return number;
  }
  Question& question =
      m_questions
          .emplace(number, Question{need, std::move(on_decision), now, now})
          .first->second;
  SendAsk(number, question, now);
  return number;
}

void TenantQuotas::SendAsk(std::uint64_t number, Question& question,
                           TimeMs now) {
  const QuotaNeed& need = question.need;
  question.last_sent = now;
  AskQuota ask;
  ask.node = m_self;
  ask.number = number;
  ask.tenant = need.tenant;
  ask.quota = need.quota;
  ask.version = need.version;
  ask.amount = need.amount;
  ask.wanted = std::max(need.amount, m_accounts[need.tenant].use_per_second *
                                         static_cast<double>(kAheadTime.ms()) /
                                         kMsPerSecond);
  ask.max_wait = need.max_wait;
  const NodeId& issuer = LenderOf(need.tenant).issuer();
  if (issuer == m_self) {
    OnTell(m_issuer.OnAsk(ask, now), now);
  } else {
    m_send(issuer, ask);
  }
}

void TenantQuotas::OnTell(const TellQuota& told, TimeMs now) {
  const auto it = m_questions.find(told.number);
  // What was granted to a question that was dropped is lost.
  if (it == m_questions.end()) return;
  const Question& question = it->second;
  Account& account = m_accounts[question.need.tenant];
  // Credit that was asked for ahead may have come meanwhile.
  const bool is_refused = told.granted < question.need.amount;
  if (is_refused && TakeCredit(account, question.need.amount, now)) {
    Decide(told.number, {QuotaVerdict::kGranted, DurationMs(0)});
    return;
  }
  if (is_refused) {
    account.refused_until = now + std::min(told.wait, kMaxRefusedTime);
    Decide(told.number, {QuotaVerdict::kOverQuota, told.wait});
    return;
  }
  account.refused_until = now;
  const double ahead = told.granted - question.need.amount;
  if (ahead > 0) {
    account.credit.push_back({ahead, question.asked + kAheadTime});
  }
  Decide(told.number, {QuotaVerdict::kGranted, told.wait});
}

void TenantQuotas::Decide(std::uint64_t number, const QuotaDecision& decision) {
  const auto it = m_questions.find(number);
  const OnDecision on_decision = std::move(it->second.on_decision);
  m_questions.erase(it);
  on_decision(decision);
}

void TenantQuotas::CheckQuestions(TimeMs now) {
  std::vector<std::uint64_t> due;
  for (const auto& [number, question] : m_questions) {
    if (now - question.last_sent >= kAskAgain) due.push_back(number);
  }
  for (const std::uint64_t number : due) {
    const auto it = m_questions.find(number);
    // An earlier decision may have ended the request.
    if (it == m_questions.end()) continue;
    if (now - it->second.asked >= kNoAnswerTime) {
      Decide(number, {QuotaVerdict::kNoAnswer, kNoAnswerRetryAfter});
    } else {
      SendAsk(number, it->second, now);
    }
  }
}

void TenantQuotas::Return(const TenantId& tenant, double amount,
                          TimeMs granted) {
  const auto it = m_accounts.find(tenant);
  if (it == m_accounts.end()) return;
  it->second.credit.push_back({amount, granted + kAheadTime});
}

}  // namespace yuccamoor::fleet
