/// \file
/// \brief A client's connection: strict HTTP/1.1 in, responses out.

#ifndef YUCCAMOOR_TRANSPORT_FLEET_FRONT_CONNECTION_H_
#define YUCCAMOOR_TRANSPORT_FLEET_FRONT_CONNECTION_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "yuccamoor/coordination/fleet/connection_budget.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/fleet/fleet_config.h"
#include "yuccamoor/transport/fleet/http_parser.h"
#include "yuccamoor/transport/fleet/kept_bytes.h"
#include "yuccamoor/transport/fleet/socket.h"

namespace yuccamoor::fleet {

/// A whole request as it was read.
struct FrontRequest {
  HttpHead head;
  std::string body;
  TimeMs received;
};

class FrontConnection;

/// Handles requests of connections.
class FrontHandler {
 public:
  virtual ~FrontHandler() = default;

  /// The limits in force. They may change while connections are open.
  virtual const RequestLimits& limits() const = 0;

  /// Takes a request. The response goes to the connection.
  virtual void OnRequest(std::shared_ptr<FrontConnection> connection,
                         FrontRequest request) = 0;
  /// The client has left while its request was being answered.
  virtual void OnClientGone(FrontConnection& connection) = 0;
  /// Notes what the connection waits for, and the bytes that have come and
  /// gone. Returns false if there is no descriptor for a call to answer it.
  virtual bool OnPhase(FrontConnection& connection, ConnectionPhase phase,
                       std::uint64_t moved) = 0;
  /// The connection is closed for the memory that it takes up.
  virtual void OnGivenUp(FrontConnection& connection) = 0;
  /// The connection is closed; nothing more comes from it.
  virtual void OnClosed(FrontConnection& connection) = 0;
  /// Returns a whole response of the system's own, after which the connection
  /// closes.
  virtual std::string RejectBadRequest(int status, const HttpHead& head) = 0;
};

/// One connection. It answers one request at a time and reads the next one
/// after that.
class FrontConnection : public std::enable_shared_from_this<FrontConnection> {
 public:
  /// What the kernel may receive for a connection that is not read, in bytes.
  static constexpr std::size_t kMaxUnreadBytes = 65'536;

  FrontConnection(boost::asio::ip::tcp::socket socket, FrontHandler& handler,
                  const Clock& clock, KeptBytes& kept, ConnectionId id);

  void Start();
  ConnectionId id() const { return m_id; }

  /// Sends bytes of the response to the current request.
  void Send(std::string_view data);
  /// The response is whole: reads the next request, or closes.
  void Finish(bool close);
  /// Ends the connection at once, so that a response under way looks cut.
  void Abort();
  /// Counts what has come and was not read.
  void NoteUnread();
  /// Closes the connection for the sake of others.
  void MakeRoom();
  /// Closes a connection that waits too long for its client, at \p now.
  void CheckTimeouts(TimeMs now);

  /// Bytes that the client has not taken yet.
  std::size_t pending_bytes() const { return m_out.size() - m_out_begin; }
  /// The same, with what the operating system holds for the client.
  std::size_t UndeliveredBytes();
  /// Leaves as much as possible of what is pending to the operating system,
  /// which delivers it also after the end of the process.
  void HandOver();

 private:
  void AwaitReadable();
  void OnReadable();
  void BeginRequest();
  bool MayParse() const;
  bool IsPaused() const;
  void ParseInput();
  void ReadOn();
  HttpFault ParseOne(std::string_view& input);
  void SendContinue();
  void OnWhole();
  void Reject(HttpFault fault);
  void RejectWith(int status);
  void Flush();
  void DropSent();
  ConnectionPhase Phase() const;
  KeptSize Kept() const;
  /// Notes what the connection waits for and keeps, and closes it if that is
  /// too much.
  void NoteKept();
  void OnGivenUp();
  void CloseUnanswered();
  void Close();

  Socket m_socket;
  FrontHandler& m_handler;
  const Clock& m_clock;
  KeptBytes& m_all_kept;
  KeptBytes::Account m_kept;
  ConnectionId m_id;
  // Bytes that have come or gone.
  std::uint64_t m_moved = 0;
  // Those that the parser applies to the current request.
  HttpParserLimits m_limits;
  std::unique_ptr<HttpParser> m_parser;
  std::string m_in;
  std::string m_out;
  std::size_t m_out_begin = 0;
  // What is kept of the request that is being answered.
  std::size_t m_request_bytes = 0;
  // What was not read when it was last counted.
  std::size_t m_unread = 0;
  TimeMs m_moved_at;
  bool m_open = true;
  bool m_parsing = false;
  bool m_had_request = false;
  bool m_busy = false;
  bool m_receiving = false;
  bool m_reading = false;
  bool m_writing = false;
  bool m_closing = false;
  bool m_continue_sent = false;
  TimeMs m_first_byte;
  TimeMs m_idle_since;
  // The limit in force at that time.
  DurationMs m_idle_timeout;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_TRANSPORT_FLEET_FRONT_CONNECTION_H_
