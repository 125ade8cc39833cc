#include "yuccamoor/coordination/fleet/endpoint_intake.h"

#include <algorithm>

namespace yuccamoor::fleet {

LimitChange EndpointIntake::OnStatement(const IntakeStatement& stated,
                                        TimeMs sent, TimeMs now) {
  if (stated.retry_after) {
    m_paused_until = std::max(m_paused_until, now + *stated.retry_after);
  }
  if (stated.requests_per_second) {
    return SetLimit(*stated.requests_per_second, now);
  }
  // A limit that cannot be read is no sign that there is none.
  if (stated.limited || !m_limit) return LimitChange::kNone;
  // Responses overtake each other: this one may be older than the limit.
  if (sent <= m_limit->named_at) return LimitChange::kNone;
  EndLimit();
  return LimitChange::kEnded;
}

LimitChange EndpointIntake::OnToldLimit(std::optional<double> per_second,
                                        TimeMs now) {
  if (per_second) {
    return m_limit ? LimitChange::kNone : SetLimit(*per_second, now);
  }
  if (!m_limit) return LimitChange::kNone;
  EndLimit();
  return LimitChange::kEnded;
}

LimitChange EndpointIntake::SetLimit(double per_second, TimeMs now) {
  LimitChange change = LimitChange::kNone;
  if (!m_limit) {
    change = LimitChange::kNamed;
  } else if (m_limit->per_second != per_second) {
    change = LimitChange::kChanged;
  }
  if (change != LimitChange::kNone) m_no_permit_until = TimeMs();
  m_limit = RequestLimit{per_second, now};
  return change;
}

void EndpointIntake::EndLimit() {
  m_limit.reset();
  m_no_permit_until = TimeMs();
}

TimeMs EndpointIntake::opens_at() const {
  return std::max(m_paused_until, m_no_permit_until);
}

DurationMs EndpointIntake::TimeToOpen(TimeMs now) const {
  return std::max(opens_at() - now, DurationMs(0));
}

}  // namespace yuccamoor::fleet
