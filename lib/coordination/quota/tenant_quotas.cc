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
// Requests that come meanwhile share the next question.
constexpr DurationMs kQuestionInterval{20};
// A node asks for what it uses in this time, so that most requests wait for no
// answer. Also how long such credit may be used after it was asked for.
constexpr DurationMs kAheadTime{400};
// A refusal stands for this long at most: other nodes may need less than
// before.
constexpr DurationMs kRefusedTime{250};
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
    for (QuotaLender& lender : m_lenders) lender.SetNodes(members, nodes, now);
  }
  m_issuer.OnTick(now);
  for (QuotaLender& lender : m_lenders) Lend(lender, now);
  Decisions decisions;
  for (auto& [tenant, account] : m_accounts) {
    CheckQuestion(tenant, account, now, decisions);
  }
  std::erase_if(m_accounts, [now](const auto& item) {
    const Account& account = item.second;
    return account.waiting.empty() && now - account.used > kUnusedTime;
  });
  Tell(decisions);
}

void TenantQuotas::Lend(QuotaLender& lender, TimeMs now) {
  const double part = m_share.Part(now);
  const QuotaPool pool(static_cast<std::uint64_t>(&lender - m_lenders.data()));
  // What this node itself issues is not lent at the same time.
  if (lender.issuer() != m_self) m_issuer.SetOwnShare(pool, 0, now);
  if (m_in_use) {
    for (const auto& [to, lend] : lender.OnTick(part, now)) m_send(to, lend);
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

bool TenantQuotas::IsRefused(const Account& account, DurationMs max_wait,
                             TimeMs now) {
  return account.refused && now - *account.refused < kRefusedTime &&
         account.available > now + max_wait;
}

std::uint64_t TenantQuotas::Ask(const QuotaNeed& need, OnDecision on_decision,
                                TimeMs now) {
  const std::uint64_t number = m_next_number++;
  Account& account = m_accounts[need.tenant];
  account.quota = need.quota;
  account.version = need.version;
  NoteUse(account, need.amount, now);
  if (account.waiting.empty() && TakeCredit(account, need.amount, now)) {
    on_decision({QuotaVerdict::kGranted, DurationMs(0)});
    return number;
  }
  if (IsRefused(account, need.max_wait, now)) {
    on_decision({QuotaVerdict::kOverQuota, account.available - now});
    return number;
  }
  account.waiting.push_back(
      {number, need.amount, now + need.max_wait, std::move(on_decision)});
  const bool asks = !account.question && now >= account.next_question;
  if (asks) SendQuestion(need.tenant, account, now);
  return number;
}

void TenantQuotas::Drop(std::uint64_t number) {
  for (auto& [tenant, account] : m_accounts) {
    const auto dropped = std::erase_if(
        account.waiting,
        [number](const Waiting& waiting) { return waiting.number == number; });
    if (dropped > 0) return;
  }
}

void TenantQuotas::SendQuestion(const TenantId& tenant, Account& account,
                                TimeMs now) {
  AskQuota ask;
  ask.node = m_self;
  ask.number = m_next_number++;
  ask.tenant = tenant;
  ask.quota = account.quota;
  ask.version = account.version;
  ask.amount = account.waiting.front().amount;
  for (const Waiting& waiting : account.waiting) {
    ask.waiting += waiting.amount;
    ask.max_wait = std::max(ask.max_wait, waiting.latest - now);
  }
  ask.wanted = std::max(ask.waiting, account.use_per_second *
                                         static_cast<double>(kAheadTime.ms()) /
                                         kMsPerSecond);
  account.question = Question{ask, now, now};
  account.next_question = now + kQuestionInterval;
  m_questions[ask.number] = tenant;
  AskIssuer(ask, now);
}

void TenantQuotas::AskIssuer(const AskQuota& ask, TimeMs now) {
  const NodeId& issuer = LenderOf(ask.tenant).issuer();
  if (issuer == m_self) {
    OnTell(m_issuer.OnAsk(ask, now), now);
  } else {
    m_send(issuer, ask);
  }
}

void TenantQuotas::OnTell(const TellQuota& told, TimeMs now) {
  const auto question = m_questions.find(told.number);
  // What was granted to a question that is not open any more is lost.
  if (question == m_questions.end()) return;
  const auto account = m_accounts.find(question->second);
  m_questions.erase(question);
  if (account == m_accounts.end()) return;
  Decisions decisions;
  TakeAnswer(account->second, told, now, decisions);
  Tell(decisions);
}

void TenantQuotas::TakeAnswer(Account& account, const TellQuota& told,
                              TimeMs now, Decisions& decisions) {
  const Question question = *account.question;
  account.question.reset();
  if (told.granted <= 0) {
    account.refused = now;
    account.available = now + told.wait;
    ServeWaiting(account, now, decisions);
    RefuseWaiting(account, now, decisions);
    return;
  }
  account.refused.reset();
  if (told.wait > DurationMs(0)) {
    // Granted to one request, for later.
    if (account.waiting.empty()) return;
    if (account.waiting.front().amount > told.granted) return;
    decisions.push_back({std::move(account.waiting.front().on_decision),
                         {QuotaVerdict::kGranted, told.wait}});
    account.waiting.pop_front();
    return;
  }
  account.credit.push_back({told.granted, question.asked + kAheadTime});
  ServeWaiting(account, now, decisions);
}

void TenantQuotas::ServeWaiting(Account& account, TimeMs now,
                                Decisions& decisions) {
  while (!account.waiting.empty()) {
    Waiting& first = account.waiting.front();
    if (!TakeCredit(account, first.amount, now)) return;
    decisions.push_back({std::move(first.on_decision),
                         {QuotaVerdict::kGranted, DurationMs(0)}});
    account.waiting.pop_front();
  }
}

// Refuses those that would wait too long.
void TenantQuotas::RefuseWaiting(Account& account, TimeMs now,
                                 Decisions& decisions) {
  for (Waiting& waiting : account.waiting) {
    if (waiting.latest >= account.available) continue;
    decisions.push_back({std::move(waiting.on_decision),
                         {QuotaVerdict::kOverQuota, account.available - now}});
  }
  std::erase_if(account.waiting, [&account](const Waiting& waiting) {
    return waiting.latest < account.available;
  });
}

void TenantQuotas::CheckQuestion(const TenantId& tenant, Account& account,
                                 TimeMs now, Decisions& decisions) {
  if (!account.question) {
    const bool asks = !account.waiting.empty() && now >= account.next_question;
    if (asks) SendQuestion(tenant, account, now);
    return;
  }
  Question& question = *account.question;
  if (now - question.asked >= kNoAnswerTime) {
    m_questions.erase(question.ask.number);
    account.question.reset();
    for (Waiting& waiting : account.waiting) {
      decisions.push_back({std::move(waiting.on_decision),
                           {QuotaVerdict::kNoAnswer, kNoAnswerRetryAfter}});
    }
    account.waiting.clear();
  } else if (now - question.last_sent >= kAskAgain) {
    question.last_sent = now;
    AskIssuer(AskQuota(question.ask), now);
  }
}

void TenantQuotas::Tell(const Decisions& decisions) {
  for (const Decided& decided : decisions) {
    decided.on_decision(decided.decision);
  }
}

void TenantQuotas::Return(const TenantId& tenant, double amount,
                          TimeMs granted) {
  const auto it = m_accounts.find(tenant);
  if (it == m_accounts.end()) return;
  it->second.credit.push_back({amount, granted + kAheadTime});
}

}  // namespace yuccamoor::fleet
