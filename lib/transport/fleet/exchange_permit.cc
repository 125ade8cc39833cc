#include <algorithm>

#include "yuccamoor/transport/fleet/exchange.h"

namespace yuccamoor::fleet {

namespace {

// The part of the objective that a plain endpoint's response takes.
constexpr std::int64_t kResponsePart = 4;

}  // namespace

void Exchange::SendTo(const EndpointId& endpoint, TimeMs now) {
  const Endpoint* target = m_context.node.view.endpoints().Find(endpoint);
  if (!target) return;
  const EndpointIntake& intake = target->intake;
  const TimeMs opens_at = intake.opens_at();
  if (opens_at <= now && !intake.limit()) {
    Send(*target, now);
    return;
  }
  if (opens_at <= now) {
    SeekPermit(endpoint, now, now);
    return;
  }
  const TimeMs latest = LatestSend(now);
  if (opens_at > latest) {
    OnClosed(opens_at, now);
  } else if (intake.limit() && intake.paused_until() <= now) {
    SeekPermit(endpoint, latest, now);
  } else {
    m_next_choice = opens_at;
  }
}

void Exchange::SendAdmitted(const EndpointId& engine, TimeMs now) {
  const Endpoint* target = m_context.node.view.endpoints().Find(engine);
  if (!target || EndIfQuarantined()) return;
  if (target->intake.paused_until() > now) {
    SendUnadmitted(now);
  } else if (target->intake.limit() && MayReceive(*target, now)) {
    SeekPermit(engine, now, now);
  } else {
    Send(*target, now);
  }
}

TimeMs Exchange::LatestSend(TimeMs now) const {
  const TimeMs longest = now + kLongestPermitWait;
  const DurationMs response_time =
      m_meta.adapter ? kFirstEventTime
                     : m_route.latency_objective / kResponsePart;
  // What may have run, or has begun to answer, goes on to its deadline.
  if (m_stream_started || m_runs > 0) {
    return std::min(m_deadline - response_time, longest);
  }
  const TimeMs on_time =
      m_request.received + m_route.latency_objective - response_time;
  if (now <= on_time) {
    return std::min({on_time, m_deadline - response_time, longest});
  }
  const TimeMs patience = m_route.kind == RequestKind::kStream
                              ? m_request.received + m_route.first_event_timeout
                              : m_deadline;
  return std::min(std::min(patience, m_deadline) - response_time, longest);
}

void Exchange::SeekPermit(const EndpointId& endpoint, TimeMs latest,
                          TimeMs now) {
  m_permit_endpoint = endpoint;
  m_permit = m_context.permits.Ask(
      endpoint, latest - now,
      [this](const PermitDecision& decision) { OnPermit(decision); });
}

void Exchange::OnPermit(const PermitDecision& decision) {
  m_permit.reset();
  if (m_ended) return;
  const TimeMs now = m_context.node.clock.Now();
  m_context.node.log.Event("request_permit")
      .Text("request", m_meta.attempt.str())
      .Text("endpoint", m_permit_endpoint.str())
      .Number("granted", decision.granted ? 1 : 0)
      .Ms("wait_ms", decision.wait);
  if (decision.granted) {
    m_permitted_from = now + decision.wait;
    UsePermit(now);
  } else {
    Dispatch(now);
  }
}

void Exchange::UsePermit(TimeMs now) {
  if (!m_permitted_from || now < *m_permitted_from) return;
  m_permitted_from.reset();
  const Endpoint* target =
      m_context.node.view.endpoints().Find(m_permit_endpoint);
  if (target && MayReceive(*target, now)) {
    Send(*target, now);
  } else {
    Dispatch(now);
  }
}

void Exchange::OnClosed(TimeMs opens_at, TimeMs now) {
  m_context.node.log.Event("endpoints_closed")
      .Text("request", m_meta.attempt.str())
      .Text("service", m_service.str())
      .Ms("opens_in_ms", opens_at - now);
  if (m_stream_started || m_runs > 0) {
    m_next_choice = opens_at;
    return;
  }
  Refuse("endpoints take no more requests",
         HonouredRetryAfter(opens_at - now, now));
}

}  // namespace yuccamoor::fleet
