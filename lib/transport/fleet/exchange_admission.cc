#include "yuccamoor/transport/fleet/exchange.h"

namespace yuccamoor::fleet {

AdmissionNeeds Exchange::MakeNeeds(TimeMs now) const {
  AdmissionNeeds needs;
  needs.query = MakeQuery(now);
  needs.prompt_tokens = m_meta.prompt_tokens;
  needs.priority = m_priority;
  needs.tenant = m_tenant;
  needs.send_by = m_request.received + m_route.latency_objective - kPrefillTime;
  return needs;
}

void Exchange::SeekAdmission(TimeMs now) {
  if (!m_ticket) {
    m_ticket = m_context.admissions.Open(
        MakeNeeds(now),
        [this](const AdmissionStep& step) { OnAdmissionStep(step); });
    m_context.node.log.Event("admission_search")
        .Text("request", m_meta.attempt.str())
        .Text("adapter", ToString(*m_meta.adapter))
        .Number("number", m_ticket->number());
  }
  FollowStep(m_ticket->Poll(MakeNeeds(now)), now);
}

void Exchange::OnAdmissionStep(const AdmissionStep& step) {
  if (m_ended || m_call || AwaitsPermit()) return;
  FollowStep(step, m_context.node.clock.Now());
}

void Exchange::FollowStep(const AdmissionStep& step, TimeMs now) {
  if (step.send_to) {
    SendAdmitted(*step.send_to, now);
    return;
  }
  if (step.unanswered) {
    SendUnadmitted(now);
    return;
  }
  const AdmissionRequest& request = m_ticket->request();
  if (request.waits_for_load()) NoteWaiting(now);
  // What may have run, or has begun to answer, goes on to its deadline.
  if (m_stream_started || m_runs > 0 || !request.expected()) return;
  RefuseIfTooLate(*request.expected(),
                  request.waits_for_load() ? "adapter comes too late"
                                           : "prompts ahead take too long",
                  now);
}

void Exchange::SendUnadmitted(TimeMs now) {
  EndpointChoice choice = m_context.dispatcher.ChooseKnown(MakeQuery(now));
  if (!choice.any_usable && !m_excluded.empty()) {
    m_excluded.clear();
    choice = m_context.dispatcher.ChooseKnown(MakeQuery(now));
  }
  if (!choice.any_usable) {
    GiveUp("no usable endpoint", kNoEndpointRetryAfter);
    return;
  }
  if (choice.send_to) {
    if (HoldsBack(*choice.send_to, now)) {
      HoldBack(now);
    } else {
      SendTo(*choice.send_to, now);
    }
    return;
  }
  if (m_stream_started || m_runs > 0) return;
  if (Held(now) >= kNobodyLoadsTime) {
    Refuse("no holder answers", kNobodyRetryAfter);
  }
}

}  // namespace yuccamoor::fleet
