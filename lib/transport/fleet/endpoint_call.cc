#include "yuccamoor/transport/fleet/endpoint_call.h"

#include <utility>

namespace yuccamoor::fleet {

namespace {

constexpr std::size_t kReadLimit = 262'144;
// How long a connection is kept whose endpoint does not say its timeout, and
// the margin to one that it says.
constexpr DurationMs kKeepTime{400};
constexpr DurationMs kKeepMargin{1'000};
// Continues a response only while its unread part is bounded.
constexpr std::size_t kMaxUnreadBody = 4'194'304;

}  // namespace

EndpointCall::EndpointCall(boost::asio::io_context& io, IdleConnections& idle,
                           const RequestDialect& dialect, std::string address,
                           RequestId attempt)
    : m_io(io),
      m_idle(idle),
      m_dialect(dialect),
      m_address(std::move(address)),
      m_attempt(std::move(attempt)),
      m_parser(HttpParser::Create(HttpParser::Kind::kResponse, {})) {}

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
  m_socket = std::make_unique<Socket>(m_io);
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
  ReadAvailable();
  const bool more =
      m_state == CallState::kSent || m_state == CallState::kAnswering;
  if (more && !m_detached) AwaitResponse();
  Report();
}

void EndpointCall::Poll() {
  if (m_state == CallState::kAnswering) ReadAvailable();
}

void EndpointCall::ReadAvailable() {
  if (body().size() > kMaxUnreadBody) {
    m_state = CallState::kBroken;
    return;
  }
  const IoResult result = m_socket->Read(m_in, kReadLimit);
  m_ended_by_peer =
      result.status == IoStatus::kEnd || result.status == IoStatus::kReset;
  Parse(result.status == IoStatus::kEnd);
  if (result.status == IoStatus::kReset && m_state != CallState::kComplete) {
    m_state = CallState::kBroken;
  }
}

void EndpointCall::Parse(bool at_end) {
  while (m_state == CallState::kSent || m_state == CallState::kAnswering) {
    if (m_parser->Feed(m_in) != HttpFault::kNone) {
      m_state = CallState::kBroken;
      return;
    }
    if (m_parser->has_head() && m_state == CallState::kSent && !TakeHead()) {
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

// Returns false if the head began another request's response, which has been
// passed over.
bool EndpointCall::TakeHead() {
  m_meta = m_dialect.DecodeResponse(m_parser->head());
  if (IsDoubtfulRefusal()) {
    m_state = CallState::kBroken;
    return true;
  }
  const bool informational = m_parser->head().status < 200;
  const bool foreign = !m_meta.attempt.empty() && m_meta.attempt != m_attempt;
  if (!informational && !foreign) {
    m_state = CallState::kAnswering;
    m_has_head = true;
    return true;
  }
  m_tainted = m_tainted || foreign;
  if (!m_parser->complete()) return true;
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
