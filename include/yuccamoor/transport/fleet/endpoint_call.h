/// \file
/// \brief One request on its way to one endpoint, and the response as it comes.

#ifndef YUCCAMOOR_TRANSPORT_FLEET_ENDPOINT_CALL_H_
#define YUCCAMOOR_TRANSPORT_FLEET_ENDPOINT_CALL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "yuccamoor/protocol/fleet/request_dialect.h"
#include "yuccamoor/transport/fleet/http_parser.h"
#include "yuccamoor/transport/fleet/idle_connections.h"
#include "yuccamoor/transport/fleet/kept_bytes.h"
#include "yuccamoor/transport/fleet/node_context.h"

namespace yuccamoor::fleet {

/// How far a call has come.
enum class CallState : std::uint8_t {
  kConnecting,
  /// The request is being written or its response awaited.
  kSent,
  /// The response's head has come, its body is coming.
  kAnswering,
  kComplete,
  /// No byte of the request was sent.
  kNotSent,
  /// The response did not come or broke off; the request may have run.
  kBroken,
};

/// One attempt. Uses a kept connection if there is a good one. Single-threaded;
/// calls back when its state or the body has moved on, never after Abort.
class EndpointCall {
 public:
  using Progress = std::function<void()>;

  EndpointCall(NodeContext& node, IdleConnections& idle, std::string address,
               RequestId attempt);
  ~EndpointCall();
  EndpointCall(const EndpointCall&) = delete;
  EndpointCall& operator=(const EndpointCall&) = delete;

  /// Sends the whole request.
  void Start(std::string request, bool expect_no_body, TimeMs now,
             Progress progress);

  CallState state() const { return m_state; }
  bool reused() const { return m_reused; }
  HttpHead& head() { return m_parser->head(); }
  const ResponseMeta& meta() const { return m_meta; }
  /// Whether the endpoint has closed or reset the connection.
  bool ended_by_peer() const { return m_ended_by_peer; }
  /// Whether the response's head has come.
  bool has_head() const { return m_has_head; }
  /// Whether the response's head has begun, but is not whole for too long.
  bool IsHeadLate(TimeMs now) const;
  /// Body bytes that nobody has taken yet.
  const std::string& body() const { return m_parser->body(); }
  /// Returns these bytes and clears them.
  std::string TakeBody();
  /// Notes what the caller itself keeps of the body, in bytes.
  void NoteKeptElsewhere(std::size_t bytes);

  /// Stops waking up for each arrival; Poll reads what has come.
  void Detach();
  /// Wakes up for each arrival again.
  void Attach();
  bool detached() const { return m_detached; }
  /// Reads what has come without waiting. Does not call back.
  void Poll();

  /// Keeps the connection of a complete call for others if it is clean.
  void Recycle(TimeMs now);
  /// Closes the connection.
  void Abort();

 private:
  void WriteMore();
  void AwaitResponse();
  void OnReadable();
  void ReadAvailable(std::size_t limit);
  void Parse(bool at_end);
  void ParseAll(std::string_view& bytes, bool at_end);
  bool TakeHead(std::size_t bytes);
  bool PassOver(std::size_t bytes);
  void NoteHeadBegun();
  KeptSize Kept() const;
  void OnGivenUp();
  bool IsUnderWay() const;
  bool IsDoubtfulRefusal() const;
  void Move(CallState state);
  void Report();

  NodeContext& m_node;
  IdleConnections& m_idle;
  std::string m_address;
  RequestId m_attempt;
  std::unique_ptr<Socket> m_socket;
  std::unique_ptr<HttpParser> m_parser;
  std::string m_out;
  std::size_t m_written = 0;
  std::string m_in;
  KeptBytes::Account m_kept;
  std::size_t m_kept_elsewhere = 0;
  std::uint64_t m_received = 0;
  // Of other messages that came first: of their heads, and of their bodies.
  std::size_t m_passed_heads = 0;
  std::size_t m_passed_bodies = 0;
  std::optional<TimeMs> m_head_begun;
  ResponseMeta m_meta;
  Progress m_progress;
  CallState m_state = CallState::kConnecting;
  bool m_reused = false;
  bool m_has_head = false;
  bool m_expect_no_body = false;
  bool m_detached = false;
  bool m_ended_by_peer = false;
  // The message that comes is not the response.
  bool m_passing_over = false;
  // Another response came on this connection: it is not used again.
  bool m_tainted = false;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_TRANSPORT_FLEET_ENDPOINT_CALL_H_
