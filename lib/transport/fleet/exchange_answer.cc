#include <charconv>
#include <utility>

#include "yuccamoor/transport/fleet/exchange.h"

namespace yuccamoor::fleet {

namespace {

constexpr std::string_view kLastChunk = "0\r\n\r\n";

std::string ChunkOf(std::string_view data) {
  char size[20];
  const auto written =
      std::to_chars(size, size + sizeof(size), data.size(), 16);
  std::string chunk(size, written.ptr);
  chunk.append("\r\n").append(data).append("\r\n");
  return chunk;
}

}  // namespace

std::string Exchange::CloseField() const {
  return Closes() ? "Connection: close\r\n" : "";
}

bool Exchange::Closes() const {
  const auto connection = m_request.head.Find("connection");
  return m_context.closing || SameHeaderName(connection, "close");
}

void Exchange::NoteFirstAnswer() {
  if (m_answered_first) return;
  m_answered_first = true;
  m_first_answer = Held(m_context.node.clock.Now());
  constexpr double kMsPerSecond = 1'000;
  m_context.node.metrics.first_answer_seconds.Observe(
      static_cast<double>(m_first_answer.ms()) / kMsPerSecond);
}

void Exchange::PassWhole() {
  NoteFirstAnswer();
  const int status = m_call->head().status;
  const bool healthy = status < 500;
  if (healthy) NoteOutput(status / 100 == 2);
  const std::string body = m_call->TakeBody();
  std::string out = m_context.node.dialect.EncodeResponseHead(m_call->head());
  out += CloseField();
  AppendField(out, "Content-Length", std::to_string(body.size()));
  out.append("\r\n").append(body);
  EndCall(healthy, true);
  if (!m_client_gone) m_client->Send(out);
  End(Outcome::kAnswered, healthy ? "ok" : "endpoint error passed on");
}

void Exchange::StartStream() {
  NoteFirstAnswer();
  m_stream_started = true;
  std::string out = m_context.node.dialect.EncodeResponseHead(m_call->head());
  out += CloseField();
  out += "Transfer-Encoding: chunked\r\n\r\n";
  m_client->Send(out);
  if (m_ended) return;
  m_call->Detach();
  m_last_poll = m_context.node.clock.Now();
  m_last_events = m_last_poll;
}

void Exchange::PassEvents() {
  m_cutter.Feed(m_call->TakeBody());
  const std::uint64_t before = m_cutter.events();
  const std::string events = m_cutter.TakeWhole();
  m_call->NoteKeptElsewhere(m_cutter.pending_bytes());
  if (events.empty()) {
    if (m_cutter.IsTooLong()) OnEndlessEvent();
    return;
  }
  m_context.node.metrics.stream_events.Add(m_cutter.events() - before);
  NoteOutput(true);
  if (!m_stream_started) StartStream();
  if (m_ended) return;
  NotePause();
  // Read in intervals again, also if the pause before was long.
  m_call->Detach();
  m_last_poll = m_context.node.clock.Now();
  m_client->Send(ChunkOf(events));
}

void Exchange::OnEndlessEvent() {
  m_context.node.log.Event("event_too_long")
      .Text("request", m_meta.attempt.str())
      .Text("endpoint", m_endpoint.str());
  m_cutter.DropPartial();
  OnBroken();
}

void Exchange::NotePause() {
  const TimeMs now = m_context.node.clock.Now();
  if (m_last_events && now - *m_last_events > m_longest_pause) {
    m_longest_pause = now - *m_last_events;
    m_longest_pause_end = Held(now);
  }
  m_last_events = now;
}

void Exchange::FinishStream() {
  PassEvents();
  if (m_ended) return;
  if (!m_cutter.AtBoundary()) {
    OnBroken();
    return;
  }
  if (!m_stream_started) StartStream();
  if (m_ended) return;
  m_client->Send(kLastChunk);
  if (m_ended) return;
  EndCall(true, true);
  End(Outcome::kAnswered, "stream complete");
}

void Exchange::Refuse(const char* reason,
                      std::optional<DurationMs> retry_after) {
  RefuseWith(503, reason, retry_after);
}

void Exchange::RefuseWith(int status, const char* reason,
                          std::optional<DurationMs> retry_after) {
  OwnReply reply;
  reply.status = status;
  reply.attempt = m_meta.attempt;
  reply.retry_after = retry_after;
  reply.close = Closes();
  if (!m_client_gone) {
    m_client->Send(m_context.node.dialect.EncodeOwnReply(reply));
  }
  End(Outcome::kRefused, reason);
}

void Exchange::Fail(int status, const char* reason) {
  OwnReply reply;
  reply.status = status;
  reply.attempt = m_meta.attempt;
  reply.close = Closes();
  if (!m_client_gone) {
    m_client->Send(m_context.node.dialect.EncodeOwnReply(reply));
  }
  End(Outcome::kFailed, reason);
}

void Exchange::GiveUp(const char* reason,
                      std::optional<DurationMs> retry_after) {
  if (m_stream_started) {
    CutStream(reason);
  } else if (m_runs > 0) {
    Fail(502, reason);
  } else {
    Refuse(reason, retry_after);
  }
}

void Exchange::CutStream(const char* reason) { End(Outcome::kFailed, reason); }

void Exchange::End(Outcome outcome, const char* reason) {
  if (m_ended) return;
  m_ended = true;
  m_permit.reset();
  m_permitted_from.reset();
  EndQuota();
  StopWaiting(m_context.node.clock.Now());
  NodeMetrics& metrics = m_context.node.metrics;
  const char* word = "answered";
  switch (outcome) {
    case Outcome::kAnswered:
      metrics.answered.Add();
      break;
    case Outcome::kRefused:
      metrics.refused.Add();
      word = "refused";
      break;
    case Outcome::kFailed:
      metrics.failed.Add();
      word = "failed";
      break;
    case Outcome::kGone:
      metrics.client_gone.Add();
      word = "client_gone";
      break;
  }
  const TimeMs now = m_context.node.clock.Now();
  m_context.node.log.Event("request_end")
      .Text("request", m_meta.attempt.str())
      .Text("route", m_route.name)
      .Text("tenant", m_tenant.str())
      .Text("adapter", m_meta.adapter ? ToString(*m_meta.adapter) : "none")
      .Text("outcome", word)
      .Text("reason", reason)
      .Text("endpoint", m_endpoint.str())
      .Number("runs", m_runs)
      .Number("sends", m_sends)
      .Number("events", m_cutter.events())
      .Ms("waited_ms", m_waited)
      .Ms("first_ms", m_first_answer)
      .Ms("longest_pause_ms", m_longest_pause)
      .Ms("longest_pause_end_ms", m_longest_pause_end)
      .Ms("held_ms", Held(now));
  const bool closes = Closes();
  // The exchange itself goes with the next tick.
  std::vector<HeaderField>().swap(m_request.head.fields);
  std::string().swap(m_request.body);
  if (m_client_gone) return;
  const bool cut = outcome == Outcome::kFailed && m_stream_started;
  if (cut) {
    m_client->Abort();
  } else {
    m_client->Finish(closes);
  }
}

}  // namespace yuccamoor::fleet
