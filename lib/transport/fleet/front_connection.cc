#include "yuccamoor/transport/fleet/front_connection.h"

#include <algorithm>
#include <utility>

namespace yuccamoor::fleet {

namespace {

constexpr std::size_t kReadLimit = 65'536;
// What a client may send ahead while its request is being answered.
constexpr std::size_t kMaxPipelinedBytes = 65'536;
// With more that the client has not taken, its next request waits.
constexpr std::size_t kMaxUnsentBytes = 65'536;
// The memory of a connection without a message: its objects, and the event
// loop's.
constexpr std::size_t kConnectionBytes = 2'048;
// What the client has taken is kept up to here.
constexpr std::size_t kMaxSentBytes = 65'536;

HttpParserLimits ToParserLimits(const RequestLimits& limits) {
  return {static_cast<std::uint32_t>(limits.max_header_bytes),
          limits.max_body_bytes};
}

bool IsMethodName(const std::string& method) {
  return !method.empty() &&
         std::all_of(method.begin(), method.end(),
                     [](char c) { return c >= 'A' && c <= 'Z'; });
}

// Refuses what two parsers could read in two ways, and what is not for a
// server that forwards by path.
bool IsUnambiguous(const HttpHead& head) {
  if (!IsMethodName(head.method) || head.method == "CONNECT") return false;
  if (!head.target.starts_with('/')) return false;
  if (head.Count("host") != 1) return false;
  const std::size_t lengths = head.Count("content-length");
  const std::size_t encodings = head.Count("transfer-encoding");
  if (lengths + encodings > 1) return false;
  return encodings == 0 ||
         SameHeaderName(head.Find("transfer-encoding"), "chunked");
}

}  // namespace

FrontConnection::FrontConnection(boost::asio::ip::tcp::socket socket,
                                 FrontHandler& handler, const Clock& clock,
                                 KeptBytes& kept, ConnectionId id)
    : m_socket(std::move(socket)),
      m_handler(handler),
      m_clock(clock),
      m_all_kept(kept),
      m_kept(kept, [this] { OnGivenUp(); }),
      m_id(id),
      m_limits(ToParserLimits(handler.limits())),
      m_parser(HttpParser::Create(HttpParser::Kind::kRequest, m_limits)),
      m_moved_at(clock.Now()),
      m_idle_since(m_moved_at),
      m_idle_timeout(handler.limits().idle_timeout) {}

void FrontConnection::Start() {
  NoteKept();
  AwaitReadable();
}

void FrontConnection::AwaitReadable() {
  if (m_reading || !m_open || m_closing) return;
  m_reading = true;
  m_socket.AwaitReadable([self = shared_from_this()] {
    self->m_reading = false;
    self->OnReadable();
  });
}

void FrontConnection::OnReadable() {
  m_all_kept.EndGivenUp();
  if (!m_open) return;
  const IoResult result = m_socket.Read(m_in, kReadLimit);
  // Requests of a client that has left are not passed on, also if they were
  // read late and together with its close.
  m_moved += result.bytes;
  m_moved_at = m_clock.Now();
  m_unread = 0;
  const bool gone = result.status == IoStatus::kEnd ||
                    result.status == IoStatus::kReset ||
                    m_socket.PeerHasClosed();
  if (gone) {
    const bool was_busy = m_busy;
    Close();
    if (was_busy) m_handler.OnClientGone(*this);
    return;
  }
  ReadOn();
}

void FrontConnection::ReadOn() {
  ParseInput();
  NoteKept();
  if (!IsPaused()) AwaitReadable();
}

bool FrontConnection::MayParse() const {
  return m_open && !m_busy && !m_closing && pending_bytes() < kMaxUnsentBytes;
}

bool FrontConnection::IsPaused() const {
  return !MayParse() && m_in.size() >= kMaxPipelinedBytes;
}

void FrontConnection::BeginRequest() {
  m_receiving = true;
  m_first_byte = m_clock.Now();
  const HttpParserLimits limits = ToParserLimits(m_handler.limits());
  if (limits == m_limits) return;
  m_limits = limits;
  m_parser = HttpParser::Create(HttpParser::Kind::kRequest, m_limits);
}

// A loop, so that requests that were sent ahead do not nest: answering one of
// them ends here again.
void FrontConnection::ParseInput() {
  if (m_parsing) return;
  m_parsing = true;
  std::string_view rest = m_in;
  HttpFault fault = HttpFault::kNone;
  while (MayParse() && !rest.empty() && fault == HttpFault::kNone) {
    fault = ParseOne(rest);
    if (m_receiving) break;
  }
  m_parsing = false;
  if (fault != HttpFault::kNone) {
    Reject(fault);
    return;
  }
  if (m_open && !m_closing) m_in.erase(0, m_in.size() - rest.size());
  if (m_in.empty() || !m_open || m_closing) std::string().swap(m_in);
}

HttpFault FrontConnection::ParseOne(std::string_view& input) {
  if (!m_receiving) BeginRequest();
  const HttpFault fault = m_parser->Consume(input);
  if (m_parser->has_head() && !IsUnambiguous(m_parser->head())) {
    return HttpFault::kMalformed;
  }
  if (fault != HttpFault::kNone) return fault;
  if (m_parser->complete()) {
    OnWhole();
  } else {
    SendContinue();
  }
  return HttpFault::kNone;
}

void FrontConnection::SendContinue() {
  if (!m_parser->has_head() || m_continue_sent) return;
  if (!SameHeaderName(m_parser->head().Find("expect"), "100-continue")) return;
  m_continue_sent = true;
  Send("HTTP/1.1 100 Continue\r\n\r\n");
}

void FrontConnection::OnWhole() {
  m_busy = true;
  m_had_request = true;
  m_receiving = false;
  m_continue_sent = false;
  // The body is copied for the call to an endpoint.
  m_request_bytes = m_parser->kept_bytes() + m_parser->body().size();
  if (!m_handler.OnPhase(*this, Phase(), m_moved)) {
    RejectWith(503);
    return;
  }
  FrontRequest request;
  request.head = std::move(m_parser->head());
  request.body = std::move(m_parser->body());
  request.received = m_clock.Now();
  m_closing = !m_parser->keep_alive();
  m_parser->Restart(false);
  // The client's leaving must still be noticed.
  const bool closes_after = m_closing;
  m_closing = false;
  if (closes_after) request.head.fields.push_back({"Connection", "close"});
  m_handler.OnRequest(shared_from_this(), std::move(request));
}

void FrontConnection::Reject(HttpFault fault) {
  if (fault == HttpFault::kHeaderTooLong) {
    RejectWith(431);
  } else if (fault == HttpFault::kBodyTooLong) {
    RejectWith(413);
  } else {
    RejectWith(400);
  }
}

void FrontConnection::RejectWith(int status) {
  std::string().swap(m_in);
  m_busy = true;
  Send(m_handler.RejectBadRequest(status, m_parser->head()));
  Finish(true);
}

void FrontConnection::Send(std::string_view data) {
  if (!m_open) return;
  if (pending_bytes() == 0) m_moved_at = m_clock.Now();
  DropSent();
  m_out.append(data);
  if (!m_writing) Flush();
  NoteKept();
}

// A slow client may never take all that is there.
void FrontConnection::DropSent() {
  if (m_out_begin < kMaxSentBytes || m_out_begin < pending_bytes()) return;
  m_out = m_out.substr(m_out_begin);
  m_out_begin = 0;
}

void FrontConnection::NoteKept() {
  if (!m_open) return;
  m_handler.OnPhase(*this, Phase(), m_moved);
  if (!m_kept.Set(Kept())) OnGivenUp();
}

ConnectionPhase FrontConnection::Phase() const {
  if (pending_bytes() > 0) return ConnectionPhase::kSending;
  if (m_busy) return ConnectionPhase::kServed;
  if (m_receiving) return ConnectionPhase::kReceiving;
  return m_had_request ? ConnectionPhase::kIdle : ConnectionPhase::kNew;
}

KeptSize FrontConnection::Kept() const {
  KeptSize size{kConnectionBytes + HeapBytes(m_out) + HeapBytes(m_in), m_moved,
                Phase() == ConnectionPhase::kServed};
  size.bytes += m_busy ? m_request_bytes : m_parser->kept_bytes();
  size.bytes += IsPaused() ? std::max(m_unread, kMaxUnreadBytes) : m_unread;
  return size;
}

void FrontConnection::NoteUnread() {
  if (!m_open) return;
  m_unread = m_socket.Unread();
  NoteKept();
}

void FrontConnection::MakeRoom() {
  if (!m_open) return;
  if (m_receiving && pending_bytes() == 0) RejectWith(503);
  if (!m_open) return;
  m_socket.Close(pending_bytes() > 0);
  CloseUnanswered();
}

void FrontConnection::OnGivenUp() {
  if (!m_open) return;
  m_handler.OnGivenUp(*this);
  if (m_receiving && pending_bytes() == 0) {
    // The request is not whole, so it was not passed on.
    RejectWith(503);
    return;
  }
  m_socket.Close(true);
  CloseUnanswered();
}

void FrontConnection::CloseUnanswered() {
  const bool was_busy = m_busy && !m_closing;
  Close();
  if (was_busy) m_handler.OnClientGone(*this);
}

void FrontConnection::Flush() {
  const IoResult result =
      m_socket.Write(std::string_view(m_out).substr(m_out_begin));
  m_out_begin += result.bytes;
  m_moved += result.bytes;
  if (result.bytes > 0) m_moved_at = m_clock.Now();
  if (result.status == IoStatus::kReset) {
    CloseUnanswered();
    return;
  }
  if (result.status == IoStatus::kWouldBlock) {
    DropSent();
    m_writing = true;
    m_socket.AwaitWritable([self = shared_from_this()] {
      self->m_writing = false;
      if (!self->m_open) return;
      self->Flush();
      self->ReadOn();
    });
    return;
  }
  std::string().swap(m_out);
  m_out_begin = 0;
  if (m_closing) Close();
}

std::size_t FrontConnection::UndeliveredBytes() {
  return m_open ? pending_bytes() + m_socket.UnacknowledgedBytes() : 0;
}

void FrontConnection::HandOver() {
  if (!m_open || pending_bytes() == 0) return;
  m_socket.ReserveSendBuffer(UndeliveredBytes());
  Flush();
}

void FrontConnection::Finish(bool close) {
  m_busy = false;
  m_request_bytes = 0;
  m_idle_since = m_clock.Now();
  m_idle_timeout = m_handler.limits().idle_timeout;
  if (!m_open) return;
  if (close) {
    m_closing = true;
    if (pending_bytes() == 0) Close();
    return;
  }
  if (!m_parsing) ReadOn();
}

void FrontConnection::Abort() {
  m_socket.Close(true);
  Close();
}

void FrontConnection::CheckTimeouts(TimeMs now) {
  if (!m_open) return;
  // The client may not know of a shorter limit yet.
  const DurationMs limit =
      std::max(m_idle_timeout, m_handler.limits().idle_timeout);
  if (pending_bytes() > 0) {
    if (now - m_moved_at < limit) return;
    m_socket.Close(true);
    CloseUnanswered();
    return;
  }
  if (m_busy) return;
  if (m_receiving) {
    const bool late =
        m_parser->has_head()
            ? now - m_moved_at >= limit
            : now - m_first_byte >= m_handler.limits().header_timeout;
    if (late) RejectWith(408);
    return;
  }
  if (now - m_idle_since >= limit) Close();
}

void FrontConnection::Close() {
  if (!m_open) return;
  m_open = false;
  m_socket.Close();
  // The event loop may keep the object for a while.
  m_parser->Restart(false);
  m_handler.OnClosed(*this);
}

}  // namespace yuccamoor::fleet
