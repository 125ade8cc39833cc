#include <algorithm>

#include "yuccamoor/transport/fleet/exchange.h"

namespace yuccamoor::fleet {

namespace {

// After an engine said that an adapter is missing.
constexpr DurationMs kMissingPause{30};
constexpr DurationMs kBusyPause{25};
// A safe request is sent elsewhere after this many objectives without answer.
constexpr std::int64_t kSilentObjectives = 2;
constexpr DurationMs kShortestSilence{250};
constexpr std::uint32_t kMaxSends = 8;
constexpr DurationMs kOverloadRetryAfter{200};

}  // namespace

void Exchange::NoteIntake() {
  if (m_intake_noted || !m_call->has_head()) return;
  m_intake_noted = true;
  const IntakeStatement& intake = m_call->meta().intake;
  m_context.permits.OnStatement(Process(), intake, m_sent);
  if (!intake.limited && !intake.leaving && !intake.retry_after) return;
  m_context.node.log.Event("endpoint_intake")
      .Text("request", m_meta.attempt.str())
      .Text("endpoint", m_endpoint.str())
      .Number("limited", intake.limited ? 1 : 0)
      .Real("requests_per_second", intake.requests_per_second.value_or(-1))
      .Number("leaving", intake.leaving ? 1 : 0)
      .Ms("retry_after_ms", intake.retry_after.value_or(DurationMs(-1)));
}

void Exchange::OnProgress() {
  if (m_ended || !m_call) return;
  NoteIntake();
  switch (m_call->state()) {
    case CallState::kConnecting:
    case CallState::kSent:
      return;
    case CallState::kAnswering:
      OnAnswering();
      return;
    case CallState::kComplete:
      OnComplete();
      return;
    case CallState::kNotSent:
      OnNotSent();
      return;
    case CallState::kBroken:
      OnBroken();
      return;
  }
}

void Exchange::OnAnswering() {
  if (m_route.kind == RequestKind::kStream && CarriesEvents()) PassEvents();
}

bool Exchange::CarriesEvents() const {
  return m_call->has_head() && m_call->head().status / 100 == 2;
}

void Exchange::OnComplete() {
  const ResponseMeta& meta = m_call->meta();
  if (meta.not_run) {
    OnNotRun();
    return;
  }
  ++m_runs;
  if (meta.load) m_context.dispatcher.OnEndpointLoad(m_endpoint, *meta.load);
  const int status = m_call->head().status;
  const bool success = status / 100 == 2;
  if (m_route.kind == RequestKind::kStream && success) {
    FinishStream();
    return;
  }
  const bool server_error = status >= 500;
  if (m_stream_started) {
    OnBroken();
    return;
  }
  if (server_error && IsIdempotent() && MayRepeat() &&
      TakesRetry("endpoint error")) {
    EndCall(false, true);
    m_excluded.push_back(m_endpoint);
    Dispatch(m_context.node.clock.Now());
    return;
  }
  PassWhole();
}

void Exchange::OnNotRun() {
  const ResponseMeta meta = m_call->meta();
  const int status = m_call->head().status;
  m_context.node.log.Event("request_not_run_by_endpoint")
      .Text("request", m_meta.attempt.str())
      .Text("endpoint", m_endpoint.str())
      .Number("status", status)
      .Text("instance", meta.endpoint.str())
      .Ms("held_ms", Held(m_context.node.clock.Now()));
  const TimeMs now = m_context.node.clock.Now();
  const bool other_instance =
      !meta.endpoint.empty() && meta.endpoint != m_endpoint;
  EndCall(true, false);
  if (other_instance) {
    m_context.node.view.endpoints().MarkLeaving(Process(), now);
    m_excluded.push_back(m_endpoint);
  } else if (m_meta.adapter && !m_meta.adapter->name.empty() &&
             (status == 421 || status == 503)) {
    m_context.dispatcher.OnMissing(m_endpoint, *m_meta.adapter);
    m_next_choice = now + kMissingPause;
  } else {
    m_excluded.push_back(m_endpoint);
    m_next_choice = now + kBusyPause;
  }
  if (meta.closing && status == 503 && !other_instance) {
    m_excluded.push_back(m_endpoint);
  }
  if (Retry("not run by endpoint")) return;
  GiveUp("endpoint refused and no retry is left", kOverloadRetryAfter);
}

void Exchange::OnNotSent() {
  const TimeMs now = m_context.node.clock.Now();
  m_context.node.view.endpoints().OnConnectFailed(m_endpoint, now);
  m_context.node.log.Event("connect_failed")
      .Text("request", m_meta.attempt.str())
      .Text("endpoint", m_endpoint.str())
      .Ms("after_ms", now - m_sent);
  EndCall(false, true);
  m_excluded.push_back(m_endpoint);
  if (m_sends >= kMaxSends) {
    GiveUp("no endpoint reachable", kOverloadRetryAfter);
    return;
  }
  // No byte was sent: this repeats nothing.
  Dispatch(now);
}

void Exchange::OnBroken() {
  ++m_runs;
  NoteBrokenOff();
  const TimeMs now = m_context.node.clock.Now();
  m_context.node.log.Event("call_broken")
      .Text("request", m_meta.attempt.str())
      .Text("endpoint", m_endpoint.str())
      .Text("digest", Suspects().front().id)
      .Number("reused", m_call->reused() ? 1 : 0)
      .Number("events", m_cutter.events())
      .Ms("after_ms", now - m_sent);
  if (m_stream_started && CarriesEvents()) PassEvents();
  if (m_ended) return;
  m_cutter.DropPartial();
  EndCall(false, true);
  m_excluded.push_back(m_endpoint);
  if (IsIdempotent() && MayRepeat() && Retry("broken call")) {
    if (m_stream_started) m_context.node.metrics.streams_resumed.Add();
    return;
  }
  GiveUp("call broken", std::nullopt);
}

void Exchange::OnSilent(TimeMs now) {
  if (m_call->IsHeadLate(now)) {
    OnBroken();
    return;
  }
  if (m_route.kind != RequestKind::kSafe) return;
  const DurationMs patience =
      std::max(kShortestSilence, m_route.latency_objective * kSilentObjectives);
  if (now - m_sent < patience) return;
  if (m_runs + 1 >= m_route.max_attempts) return;
  OnBroken();
}

bool Exchange::MayRepeat() const {
  return m_runs < m_route.max_attempts && m_sends < kMaxSends;
}

bool Exchange::TakesRetry(const char* reason) {
  const TimeMs now = m_context.node.clock.Now();
  const bool time_left = m_deadline - now > kShortestOffer;
  if (!time_left || m_sends >= kMaxSends) return false;
  if (!m_context.retries.TryTake(m_service, now)) return false;
  m_context.node.metrics.retries.Add();
  m_context.node.log.Event("request_retry")
      .Text("request", m_meta.attempt.str())
      .Text("reason", reason)
      .Number("runs", m_runs)
      .Number("sends", m_sends);
  return true;
}

bool Exchange::Retry(const char* reason) {
  if (!TakesRetry(reason)) return false;
  Dispatch(m_context.node.clock.Now());
  return true;
}

void Exchange::EndCall(bool healthy, bool counts) {
  if (!m_call) return;
  const TimeMs now = m_context.node.clock.Now();
  Endpoint* endpoint = m_context.node.view.endpoints().Find(m_endpoint);
  if (endpoint && counts) {
    endpoint->breaker.OnEnd(healthy, now);
  } else if (endpoint) {
    endpoint->breaker.OnCancel();
  }
  if (endpoint && m_call->state() != CallState::kNotSent &&
      m_call->state() != CallState::kConnecting) {
    m_context.node.view.endpoints().OnConnected(m_endpoint);
  }
  m_context.dispatcher.OnEnd(m_endpoint, m_meta.adapter);
  if (m_call->state() == CallState::kComplete) {
    m_call->Recycle(now);
  } else {
    m_call->Abort();
  }
  m_call.reset();
}

}  // namespace yuccamoor::fleet
