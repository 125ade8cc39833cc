#include "yuccamoor/coordination/fleet/suspect_placement.h"
#include "yuccamoor/transport/fleet/exchange.h"

namespace yuccamoor::fleet {

namespace {

// Other requests with the same part will most likely have shown by then whether
// it crashes endpoints.
constexpr DurationMs kDoubtfulRepeatRetryAfter{1'000};

}  // namespace

EndpointProcess Exchange::Process() const {
  return {m_endpoint, m_endpoint_start_unix_ms};
}

CrashSuspect Exchange::RequestSuspect() const {
  return {SuspectKind::kRequest,
          m_context.node.dialect.Digest(m_request.head, m_request.body).str()};
}

const std::vector<CrashSuspect>& Exchange::Suspects() {
  if (!m_suspects.empty()) return m_suspects;
  m_suspects.push_back(RequestSuspect());
  for (const PromptPartId& part : m_meta.shared_parts) {
    m_suspects.push_back({SuspectKind::kPromptPart, part.str()});
  }
  return m_suspects;
}

void Exchange::NoteBrokenOff() {
  // What this node gave up by itself tells nothing of the endpoint.
  if (!m_call->ended_by_peer() || m_has_output) return;
  // Events that came together with the end were not passed on.
  EventCutter unread;
  if (CarriesEvents()) unread.Feed(m_call->body());
  if (!unread.TakeWhole().empty()) return;
  m_context.crashes.OnBrokenOff(Process(), Suspects(),
                                m_context.node.clock.Now() - m_sent);
}

void Exchange::NoteOutput(bool for_prompt) {
  if (m_has_output) return;
  m_has_output = true;
  LogOlderVersionBegun();
  std::vector<CrashSuspect> survived;
  const bool any_suspected = !m_context.crashes.quarantine().empty();
  if (any_suspected && for_prompt) survived = Suspects();
  if (any_suspected && !for_prompt) survived = {Suspects().front()};
  m_context.crashes.OnOutput(Process(), survived);
}

bool Exchange::EndIfQuarantined() {
  const CrashQuarantine& quarantine = m_context.crashes.quarantine();
  // Output has shown that the request is sound.
  if (m_stream_started || quarantine.empty()) return false;
  const TimeMs now = m_context.node.clock.Now();
  const auto found = quarantine.Find(Suspects(), now);
  if (!found) return EndIfDoubtfulRepeat(now);
  m_context.node.metrics.quarantined_requests_refused.Add();
  m_context.node.log.Event("request_quarantined")
      .Text("request", m_meta.attempt.str())
      .Text("kind", ToText(found->suspect.kind))
      .Text("suspect", found->suspect.id)
      .Ms("remaining_ms", found->remaining);
  GiveUp("crashes endpoints", found->remaining);
  return true;
}

bool Exchange::EndIfDoubtfulRepeat(TimeMs now) {
  if (!m_context.crashes.quarantine().IsDoubtfulRepeat(Suspects(), now)) {
    return false;
  }
  m_context.node.log.Event("suspect_repeat_kept_back")
      .Text("request", m_meta.attempt.str())
      .Text("suspect", Suspects().front().id);
  GiveUp("may crash a further endpoint", kDoubtfulRepeatRetryAfter);
  return true;
}

bool Exchange::DispatchSuspect(TimeMs now) {
  const CrashQuarantine& quarantine = m_context.crashes.quarantine();
  // Engines are chosen by what they hold.
  if (m_meta.adapter || quarantine.empty()) return false;
  const SuspectPlacement placement =
      PlaceSuspect(m_context.node.view.endpoints(), quarantine,
                   {m_service, Suspects().front(), m_excluded}, now);
  if (placement.keeps_back) {
    m_context.node.log.Event("suspect_kept_back")
        .Text("request", m_meta.attempt.str())
        .Text("suspect", Suspects().front().id)
        .Text("service", m_service.str());
    GiveUp("may crash the last endpoint", kNoEndpointRetryAfter);
    return true;
  }
  if (!placement.send_to) return false;
  SendTo(*placement.send_to, now);
  return true;
}

}  // namespace yuccamoor::fleet
