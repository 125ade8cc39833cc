/// \file
/// \brief A client's connection: strict HTTP/1.1 in, responses out.

#ifndef YUCCAMOOR_TRANSPORT_FLEET_FRONT_CONNECTION_H_
#define YUCCAMOOR_TRANSPORT_FLEET_FRONT_CONNECTION_H_

#include <functional>
#include <memory>
#include <string>

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
  FrontConnection(boost::asio::ip::tcp::socket socket, FrontHandler& handler,
                  const Clock& clock, KeptBytes& kept);

  void Start();

  /// Sends bytes of the response to the current request.
  void Send(std::string_view data);
  /// The response is whole: reads the next request, or closes.
  void Finish(bool close);
  /// Ends the connection at once, so that a response under way looks cut.
  void Abort();
  /// Closes a connection that waits too long for a request, at \p now.
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
  void ParseInput();
  void OnWhole();
  void Reject(HttpFault fault);
  void RejectWith(int status);
  void Flush();
  void DropSent();
  /// Notes what is kept, and closes the connection if that is too much.
  void NoteKept();
  void OnGivenUp();
  void CloseUnanswered();
  void Close();

  Socket m_socket;
  FrontHandler& m_handler;
  const Clock& m_clock;
  KeptBytes::Account m_kept;
  // Bytes that have come or gone.
  std::uint64_t m_moved = 0;
  // Those that the parser applies to the current request.
  HttpParserLimits m_limits;
  std::unique_ptr<HttpParser> m_parser;
  std::string m_in;
  std::string m_out;
  std::size_t m_out_begin = 0;
  bool m_open = true;
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
