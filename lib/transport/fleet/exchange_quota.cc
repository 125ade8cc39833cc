#include "yuccamoor/transport/fleet/exchange.h"

namespace yuccamoor::fleet {

namespace {

// The part of the objective that a request may wait for its tenant's quota.
constexpr std::int64_t kQuotaWaitPart = 4;

}  // namespace

double Exchange::QuotaUnits() const {
  if (m_quota.unit == QuotaUnit::kRequests) return 1;
  if (!m_meta.states_tokens) return m_quota.plain_tokens;
  return static_cast<double>(m_meta.prompt_tokens) +
         static_cast<double>(m_meta.max_output_tokens);
}

void Exchange::SeekQuota(TimeMs now) {
  QuotaNeed need;
  need.tenant = m_tenant;
  need.quota = m_quota;
  need.version = m_routes->config().version;
  need.amount = QuotaUnits();
  need.max_wait = m_route.latency_objective / kQuotaWaitPart;
  // The decision may come before the number.
  m_quota_from = TimeMs::Never();
  const std::uint64_t number = m_context.quotas.Ask(
      need, [this](const QuotaDecision& decision) { OnQuota(decision); }, now);
  if (m_quota_from == TimeMs::Never()) m_quota_question = number;
}

void Exchange::OnQuota(const QuotaDecision& decision) {
  m_quota_question.reset();
  m_quota_from.reset();
  if (m_ended) return;
  const TimeMs now = m_context.node.clock.Now();
  switch (decision.verdict) {
    case QuotaVerdict::kGranted:
      m_quota_granted = now;
      m_quota_from = now + decision.wait;
      UseQuota(now);
      return;
    case QuotaVerdict::kOverQuota:
      m_context.node.metrics.over_quota.Add();
      m_context.node.log.Event("over_quota")
          .Text("request", m_meta.attempt.str())
          .Text("tenant", m_tenant.str())
          .Real("units", QuotaUnits())
          .Real("rate_per_second", m_quota.rate_per_second)
          .Real("burst", m_quota.burst)
          .Ms("wait_ms", decision.wait);
      RefuseWith(kTooManyRequests, "over quota",
                 HonouredRetryAfter(decision.wait, now));
      return;
    case QuotaVerdict::kNoAnswer:
      m_context.node.metrics.quota_unanswered.Add();
      Refuse("no answer on the quota", HonouredRetryAfter(decision.wait, now));
      return;
  }
}

void Exchange::UseQuota(TimeMs now) {
  if (!m_quota_from || now < *m_quota_from) return;
  m_quota_from.reset();
  Dispatch(now);
}

void Exchange::EndQuota() {
  if (m_quota_question) m_context.quotas.Drop(*m_quota_question);
  m_quota_question.reset();
  m_quota_from.reset();
  const bool is_unused = m_quota_granted && m_sends == 0;
  if (is_unused) {
    m_context.quotas.Return(m_tenant, QuotaUnits(), *m_quota_granted);
  }
  m_quota_granted.reset();
}

}  // namespace yuccamoor::fleet
