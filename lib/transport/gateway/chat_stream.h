/// \file
/// \brief Answers chat requests by server-sent events, which a caller can go on
/// with after its connection or its gateway was lost.

#ifndef YUCCAMOOR_LIB_TRANSPORT_GATEWAY_CHAT_STREAM_H_
#define YUCCAMOOR_LIB_TRANSPORT_GATEWAY_CHAT_STREAM_H_

#include <optional>
#include <string>

#include "chat_run.h"
#include "resume_store.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/transport/asio.h"
#include "yuccamoor/transport/gateway/chat_service.h"

namespace yuccamoor {

class HttpExchange;

/// Passes tokens on as events. When the caller's connection breaks after the
/// first event, tokens are still taken for a while, so that the engine's stream
/// and its lease last until the caller can have reconnected.
class StreamSink final : public TokenSink {
 public:
  StreamSink(const Clock& clock, ResumeStore& store, const ChatJob& job,
             HttpExchange& exchange);

  void OnAttempt(const StreamHandle& stream) override;
  Awaitable<void> OnToken(const std::string& token, TokenIndex index) override;
  /// Writes the tokens that came together as one piece.
  Awaitable<void> Flush() override;
  bool Committed() const override { return m_started || m_job.resume; }
  void Reset() override {}
  bool CallerGone() override;

  /// Sends the header, once.
  Awaitable<void> Start();
  /// Sends an event without an id.
  Awaitable<void> WriteData(std::string data);

  bool started() const { return m_started; }
  bool left() const { return m_left_at.has_value(); }
  const RequestId& key() const { return m_key; }

 private:
  void NoteLeft();
  bool HoldIsOver() const;

  const Clock& m_clock;
  ResumeStore& m_store;
  const ChatJob& m_job;
  HttpExchange& m_exchange;
  /// What the events' ids begin with.
  std::string m_encoded_stream;
  RequestId m_key;
  ChatChunkEncoder m_encoder;
  /// Events that are not written yet.
  std::string m_pending;
  bool m_started = false;
  /// When the caller was seen to have gone.
  std::optional<TimeMs> m_left_at;
};

/// Answers the request, or goes on with the stream that it names.
Awaitable<void> AnswerStreamed(const ChatServices& services, ResumeStore& store,
                               const ChatJob& job, HttpExchange& exchange);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_LIB_TRANSPORT_GATEWAY_CHAT_STREAM_H_
