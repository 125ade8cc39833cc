/// \file
/// \brief One chat request on its way through attempts at workers.

#ifndef YUCCAMOOR_LIB_TRANSPORT_GATEWAY_CHAT_RUN_H_
#define YUCCAMOOR_LIB_TRANSPORT_GATEWAY_CHAT_RUN_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string>

#include "yuccamoor/coordination/request/stream_assembler.h"
#include "yuccamoor/coordination/residency/residency_client.h"
#include "yuccamoor/protocol/api_error.h"
#include "yuccamoor/protocol/platform/generation.h"
#include "yuccamoor/protocol/request/stream_event_id.h"
#include "yuccamoor/transport/gateway/cell_session.h"
#include "yuccamoor/transport/gateway/chat_service.h"

namespace yuccamoor {

class HttpResponseStream;

/// Takes the tokens of one answer.
class TokenSink {
 public:
  virtual ~TokenSink() = default;

  /// Notes which engine's stream the next tokens are of.
  virtual void OnAttempt(const StreamHandle& stream) = 0;
  /// Takes the next token. Throws when the caller has gone.
  virtual Awaitable<void> OnToken(const std::string& token,
                                  TokenIndex index) = 0;
  /// Notes that no further token is at hand for now.
  virtual Awaitable<void> Flush() = 0;
  /// Whether tokens have left the process, so that the answer cannot begin
  /// anew.
  virtual bool Committed() const = 0;
  /// Forgets the tokens so far; only if not committed.
  virtual void Reset() = 0;
  /// Whether the caller has gone.
  virtual bool CallerGone() = 0;
};

/// Runs one request until its answer is whole or it has failed.
class ChatRun {
 public:
  ChatRun(const ChatServices& services, const ChatJob& job, TokenSink& sink);

  /// Returns nothing when the answer is whole, else the failure. Throws what
  /// the sink throws; the engine's stream is then cancelled.
  Awaitable<std::optional<ApiError>> Execute();

  std::uint32_t tokens() const {
    return static_cast<std::uint32_t>(m_assembler.next().value());
  }

 private:
  /// How an attempt ended.
  enum class AttemptEnd : std::uint8_t { kWhole, kRetry, kVoid };

  Awaitable<AcquireResult> WaitForGrant(std::uint64_t prefix_key);
  Awaitable<AttemptEnd> TryOn(const Placement& placement);
  Awaitable<AttemptEnd> Attempt(const Placement& placement,
                                std::string traceparent);
  /// Starts the next attempt's frames and returns what to ask the engine for.
  GenerateRequest NextAttempt(const InstanceId& instance);
  AttemptEnd OnRefusal(const Placement& placement, int status,
                       const GenerateRequest& generate);
  Awaitable<AttemptEnd> ReadAnswer(const Placement& placement,
                                   HttpResponseStream& stream);
  Awaitable<bool> TakeFrames(std::string piece, class SseParser& parser);
  bool PrepareAssembler(const InstanceId& instance);
  void BeginAnew();
  /// Returns a number in [0, 1).
  double Random();
  void CancelAt(const std::string& address);
  /// Notes the engine's acceptance.
  void OnAccepted(const Placement& placement);
  ApiError FailureOf(const AcquireResult& result) const;
  ApiError Cut() const;

  const ChatServices& m_services;
  const ChatJob& m_job;
  TokenSink& m_sink;
  const std::string m_prompt;
  /// For the jitter between attempts.
  std::minstd_rand m_random;
  StreamAssembler m_assembler;
  AttemptNumber m_attempt;
  std::uint32_t m_failures = 0;
  /// The engine that holds the stream, once one has accepted the request.
  std::optional<EnginePin> m_engine;
  /// Some engine has accepted the request.
  bool m_dispatched = false;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_LIB_TRANSPORT_GATEWAY_CHAT_RUN_H_
