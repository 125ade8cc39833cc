#include "yuccamoor/transport/fleet/endpoint_call.h"

#include <utility>

namespace yuccamoor::fleet {

namespace {

// One call's part of a turn of the event loop.
constexpr std::size_t kReadLimit = 65'536;
// The same of a stream, which is read at intervals.
constexpr std::size_t kPollLimit = 262'144;
// How long a connection is kept whose endpoint does not say its timeout, and
// the margin to one that it says.
constexpr DurationMs kKeepTime{400};
constexpr DurationMs kKeepMargin{1'000};
// Continues a response only while its unread part is bounded.
constexpr std::size_t kMaxUnreadBody = 4'194'304;
// Of the heads of all messages that come before the response.
constexpr std::size_t kMaxPassedHeads = 65'536;
// A head usually comes in one packet.
constexpr DurationMs kHeadTime{2'000};

}  // namespace

EndpointCall::EndpointCall(NodeContext& node, IdleConnections& idle,
                           std::string address, RequestId attempt)
    : m_node(node),
      m_idle(idle),
      m_address(std::move(address)),
      m_attempt(std::move(attempt)),
      m_parser(HttpParser::Create(HttpParser::Kind::kResponse, {})),
      m_kept(node.kept, [this] { OnGivenUp(); }) {}

EndpointCall::~EndpointCall() { Abort(); }

void EndpointCall::Start(std::string request, bool expect_no_body, TimeMs now,
                         Progress progress) {
  m_out = std::move(request);
  m_expect_no_body = expect_no_body;
  m_progress = std::move(progress);
  m_parser->Restart(expect_no_body);
  m_socket = m_idle.Take(m_address, now);
  if (m_socket) {
    m_reused = true;
    m_state = CallState::kSent;
    WriteMore();
    return;
  }
  m_socket = std::make_unique<Socket>(m_node.io);
  m_socket->Connect(ParseSocketAddress(m_address), [this](bool connected) {
    if (!connected) {
      Move(CallState::kNotSent);
      return;
    }
    m_state = CallState::kSent;
    WriteMore();
  });
}

void EndpointCall::WriteMore() {
  const IoResult result =
      m_socket->Write(std::string_view(m_out).substr(m_written));
  m_written += result.bytes;
  if (result.status == IoStatus::kReset) {
    m_ended_by_peer = true;
    Move(m_written == 0 ? CallState::kNotSent : CallState::kBroken);
    return;
  }
  if (result.status == IoStatus::kWouldBlock) {
    m_socket->AwaitWritable([this] { WriteMore(); });
  }
  if (result.status == IoStatus::kOk) AwaitResponse();
}

void EndpointCall::AwaitResponse() {
  m_socket->AwaitReadable([this] { OnReadable(); });
}

void EndpointCall::OnReadable() {
  ReadAvailable(kReadLimit);
  if (IsUnderWay() && !m_detached) AwaitResponse();
  Report();
}

void EndpointCall::Poll() {
  if (m_state == CallState::kAnswering) ReadAvailable(kPollLimit);
}

bool EndpointCall::IsUnderWay() const {
  return m_state == CallState::kSent || m_state == CallState::kAnswering;
}

void EndpointCall::ReadAvailable(std::size_t limit) {
  if (m_parser->body().size() > kMaxUnreadBody) {
    m_state = CallState::kBroken;
    return;
  }
  const IoResult result = m_socket->Read(m_in, limit);
  m_ended_by_peer =
      result.status == IoStatus::kEnd || result.status == IoStatus::kReset;
  Parse(result.status == IoStatus::kEnd);
  if (result.status == IoStatus::kReset && m_state != CallState::kComplete) {
    m_state = CallState::kBroken;
  }
  NoteHeadBegun();
  m_received += result.bytes;
  if (IsUnderWay() && !m_kept.Set(Kept())) m_state = CallState::kBroken;
}

KeptSize EndpointCall::Kept() const {
  return {HeapBytes(m_in) + m_parser->kept_bytes() + m_kept_elsewhere,
          m_received};
}

void EndpointCall::NoteKeptElsewhere(std::size_t bytes) {
  m_kept_elsewhere = bytes;
  m_kept.Lower(Kept());
}

void EndpointCall::OnGivenUp() {
  if (IsUnderWay()) Move(CallState::kBroken);
}

void EndpointCall::NoteHeadBegun() {
  const bool begun = m_parser->started() || !m_in.empty();
  if (m_state != CallState::kSent || !begun) {
    m_head_begun.reset();
  } else if (!m_head_begun) {
    m_head_begun = m_node.clock.Now();
  }
}

bool EndpointCall::IsHeadLate(TimeMs now) const {
  return m_head_begun && now - *m_head_begun >= kHeadTime;
}

std::string EndpointCall::TakeBody() {
  return std::exchange(m_parser->body(), {});
}

void EndpointCall::Parse(bool at_end) {
  std::string_view rest = m_in;
  ParseAll(rest, at_end);
  if (rest.empty()) {
    // Nothing is kept between messages.
    std::string().swap(m_in);
  } else {
    m_in.erase(0, m_in.size() - rest.size());
  }
}

void EndpointCall::ParseAll(std::string_view& bytes, bool at_end) {
  while (IsUnderWay()) {
    const std::size_t before = bytes.size();
    if (m_parser->Consume(bytes) != HttpFault::kNone) {
      m_state = CallState::kBroken;
      return;
    }
    const std::size_t taken = before - bytes.size();
    if (m_parser->has_head() && m_state == CallState::kSent &&
        !TakeHead(taken)) {
      continue;
    }
    if (m_state == CallState::kBroken) return;
    if (m_parser->complete()) {
      m_state = CallState::kComplete;
      return;
    }
    if (!at_end) return;
    const bool whole =
        m_state == CallState::kAnswering && m_parser->FinishAtEnd();
    m_state = whole ? CallState::kComplete : CallState::kBroken;
  }
}

// Returns false if the head, of which the last \p bytes came now, began
// another message, which has been passed over as a whole.
bool EndpointCall::TakeHead(std::size_t bytes) {
  if (m_passing_over) return PassOver(bytes);
  m_meta = m_node.dialect.DecodeResponse(m_parser->head());
  if (IsDoubtfulRefusal()) {
    m_state = CallState::kBroken;
    return true;
  }
  const bool informational = IsInterimStatus(m_parser->head().status);
  const bool foreign = !m_meta.attempt.empty() && m_meta.attempt != m_attempt;
  if (!informational && !foreign) {
    m_state = CallState::kAnswering;
    m_has_head = true;
    return true;
  }
  m_tainted = m_tainted || foreign;
  m_passing_over = true;
  return PassOver(bytes);
}

bool EndpointCall::PassOver(std::size_t bytes) {
  const std::size_t of_body = TakeBody().size();
  m_passed_heads += bytes - of_body;
  m_passed_bodies += of_body;
  if (m_passed_heads > kMaxPassedHeads || m_passed_bodies > kMaxUnreadBody) {
    m_state = CallState::kBroken;
    return true;
  }
  if (!m_parser->complete()) return true;
  m_passing_over = false;
  m_parser->Restart(m_expect_no_body);
  return false;
}

// A faulty endpoint may repeat an earlier refusal on a kept connection. One
// that does not name this request may be such.
bool EndpointCall::IsDoubtfulRefusal() const {
  return m_reused && m_meta.not_run && m_meta.attempt.empty() &&
         !m_attempt.empty();
}

void EndpointCall::Move(CallState state) {
  m_state = state;
  Report();
}

void EndpointCall::Report() {
  // The callback may end this call.
  const Progress progress = m_progress;
  if (progress) progress();
}

void EndpointCall::Detach() {
  m_detached = true;
  if (m_socket) m_socket->Detach();
}

void EndpointCall::Attach() {
  if (!m_detached || m_state != CallState::kAnswering) return;
  m_detached = false;
  AwaitResponse();
}

void EndpointCall::Recycle(TimeMs now) {
  m_progress = nullptr;
  // The same request may be sent there again. A repeated refusal on this
  // connection could not be told from a new one.
  const bool clean = m_state == CallState::kComplete && !m_tainted &&
                     m_in.empty() && m_written == m_out.size() &&
                     m_parser->keep_alive() && !m_meta.closing &&
                     !m_meta.not_run;
  if (!clean || !m_socket) {
    Abort();
    return;
  }
  DurationMs keep = kKeepTime;
  if (m_meta.idle_timeout && *m_meta.idle_timeout > kKeepMargin + kKeepTime) {
    keep = *m_meta.idle_timeout - kKeepMargin;
  }
  m_idle.Put(m_address, std::move(m_socket), now + keep);
}

void EndpointCall::Abort() {
  m_progress = nullptr;
  if (m_socket) m_socket->Close();
  m_socket.reset();
}

}  // namespace yuccamoor::fleet
