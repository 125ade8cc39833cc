#include "yuccamoor/transport/fleet/http_caller.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>

#include "yuccamoor/transport/fleet/http_parser.h"

namespace yuccamoor::fleet {

namespace {

// Kept connections are used for a while only, so that silent ones are rare.
constexpr DurationMs kKeepTime{8'000};
// One call's part of a turn of the event loop.
constexpr std::size_t kReadLimit = 65'536;
// More than any service sends before an answer.
constexpr std::size_t kMaxInterimResponses = 16;

std::string Encode(const HttpCall& call) {
  std::string out = call.method + " " + call.target.text() + " HTTP/1.1\r\n";
  AppendField(out, "Host", ToString(call.address));
  for (const HeaderField& field : call.fields) {
    AppendField(out, field.name, field.value);
  }
  if (!call.body.empty()) {
    AppendField(out, "Content-Type", "application/json");
  }
  if (!call.body.empty() || call.method == "POST") {
    AppendField(out, "Content-Length", std::to_string(call.body.size()));
  }
  return out.append("\r\n").append(call.body);
}

HttpParserLimits LimitsOf(const HttpCall& call) {
  HttpParserLimits limits;
  limits.max_body_bytes = call.max_body_bytes;
  return limits;
}

}  // namespace

// One call. Keeps itself alive by its callbacks until it has ended.
class HttpCaller::Run : public std::enable_shared_from_this<Run> {
 public:
  Run(HttpCaller& caller, HttpCall call, Done done)
      : m_caller(caller),
        m_alive(caller.m_alive),
        m_call(std::move(call)),
        m_done(std::move(done)),
        m_out(Encode(m_call)),
        m_timer(caller.m_io),
        m_parser(
            HttpParser::Create(HttpParser::Kind::kResponse, LimitsOf(m_call))),
        m_kept(caller.m_kept, [this] { End(false); }) {}

  void Start() {
    m_timer.expires_after(std::chrono::milliseconds(m_call.timeout.ms()));
    m_timer.async_wait(
        [self = shared_from_this()](boost::system::error_code error) {
          if (!error) self->OnTimeout();
        });
    const std::string address = ToString(m_call.address);
    if (m_call.new_connection) m_caller.m_idle.Drop(address);
    m_socket = m_caller.m_idle.Take(address, m_caller.m_clock.Now());
    if (m_socket) {
      m_reused = true;
      WriteMore();
      return;
    }
    m_socket = std::make_unique<Socket>(m_caller.m_io);
    m_socket->Connect(m_call.address,
                      [self = shared_from_this()](bool connected) {
                        if (self->m_ended) return;
                        if (!connected) {
                          self->End(false);
                          return;
                        }
                        self->WriteMore();
                      });
  }

 private:
  void WriteMore() {
    m_sent = true;
    const IoResult result =
        m_socket->Write(std::string_view(m_out).substr(m_written));
    m_written += result.bytes;
    if (result.status == IoStatus::kWouldBlock) {
      m_socket->AwaitWritable([self = shared_from_this()] {
        if (!self->m_ended) self->WriteMore();
      });
      return;
    }
    if (result.status != IoStatus::kOk) {
      End(false);
      return;
    }
    AwaitResponse();
  }

  void OnTimeout() {
    // What silenced one kept connection may have silenced the others.
    if (m_reused) m_caller.m_idle.Drop(ToString(m_call.address));
    End(false);
  }

  void AwaitResponse() {
    m_socket->AwaitReadable([self = shared_from_this()] {
      if (!self->m_ended) self->ReadMore();
    });
  }

  void ReadMore() {
    const IoResult result = m_socket->Read(m_in, kReadLimit);
    if (!FeedAll()) {
      End(false);
      return;
    }
    if (m_parser->complete()) {
      End(true);
      return;
    }
    if (result.status == IoStatus::kEnd) {
      End(m_parser->FinishAtEnd());
      return;
    }
    if (result.status == IoStatus::kReset) {
      End(false);
      return;
    }
    m_received += result.bytes;
    if (!IsWanted(result.bytes)) {
      End(false);
      return;
    }
    if (!m_kept.Set({HeapBytes(m_in) + m_parser->kept_bytes(), m_received})) {
      End(false);
      return;
    }
    AwaitResponse();
  }

  // Feeds the parser what has come, past the responses before the answer.
  // Returns whether all of it was well-formed.
  bool FeedAll() {
    while (m_parser->Feed(m_in) == HttpFault::kNone) {
      const bool is_interim =
          m_parser->complete() && IsInterimStatus(m_parser->head().status);
      if (!is_interim) return true;
      if (++m_interim_responses > kMaxInterimResponses) return false;
      m_parser->Restart(false);
    }
    return false;
  }

  // Whether to read on after these bytes.
  bool IsWanted(std::size_t bytes) const {
    if (bytes == 0 || !m_call.on_progress || !*m_alive) return true;
    return m_call.on_progress();
  }

  void End(bool answered) {
    if (m_ended) return;
    m_ended = true;
    m_timer.cancel();
    HttpCallEnd end;
    end.sent = m_sent;
    if (answered) {
      end.status = m_parser->head().status;
      end.fields = m_parser->head().fields;
      end.body = std::move(m_parser->body());
    }
    const bool keep =
        answered && m_in.empty() && m_parser->keep_alive() && *m_alive;
    if (keep) {
      m_caller.m_idle.Put(ToString(m_call.address), std::move(m_socket),
                          m_caller.m_clock.Now() + kKeepTime);
    } else {
      m_socket->Close();
    }
    // Callers may start the next call at once; they expect no re-entry.
    boost::asio::post(m_timer.get_executor(), [self = shared_from_this(),
                                               end = std::move(end)]() mutable {
      if (*self->m_alive) self->m_done(std::move(end));
    });
  }

  HttpCaller& m_caller;
  std::shared_ptr<bool> m_alive;
  HttpCall m_call;
  Done m_done;
  std::string m_out;
  std::size_t m_written = 0;
  std::string m_in;
  boost::asio::steady_timer m_timer;
  std::unique_ptr<Socket> m_socket;
  std::unique_ptr<HttpParser> m_parser;
  KeptBytes::Account m_kept;
  std::uint64_t m_received = 0;
  std::size_t m_interim_responses = 0;
  bool m_reused = false;
  bool m_sent = false;
  bool m_ended = false;
};

std::string_view HttpCallEnd::Find(std::string_view name) const {
  const auto field = std::find_if(fields.begin(), fields.end(),
                                  [name](const HeaderField& item) {
                                    return SameHeaderName(item.name, name);
                                  });
  return field == fields.end() ? std::string_view() : field->value;
}

HttpCaller::HttpCaller(boost::asio::io_context& io, const Clock& clock,
                       KeptBytes& kept)
    : m_io(io), m_clock(clock), m_kept(kept) {}

HttpCaller::~HttpCaller() { *m_alive = false; }

void HttpCaller::Start(HttpCall call, Done done) {
  m_idle.Expire(m_clock.Now());
  std::make_shared<Run>(*this, std::move(call), std::move(done))->Start();
}

}  // namespace yuccamoor::fleet
