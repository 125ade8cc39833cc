/// \file
/// \brief Answers chat requests: resolves the target, waits for a worker that
/// holds it, and passes the engine's answer on, whole or not at all.

#ifndef YUCCAMOOR_TRANSPORT_GATEWAY_CHAT_SERVICE_H_
#define YUCCAMOOR_TRANSPORT_GATEWAY_CHAT_SERVICE_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "yuccamoor/protocol/api_error.h"
#include "yuccamoor/protocol/chat_api.h"
#include "yuccamoor/protocol/request/stream_event_id.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/config_snapshot.h"
#include "yuccamoor/state/ids.h"
#include "yuccamoor/transport/asio.h"

namespace yuccamoor {

class AdmissionGate;
class AdmissionPass;
class CellSession;
class HttpClient;
class HttpExchange;
struct HttpRequest;
class RequestScope;
class ResumeStore;
class Telemetry;
class WorkerPool;

/// Finds what a request needs. Safe to use from several threads.
class ChatDirectory {
 public:
  virtual ~ChatDirectory() = default;

  /// The configuration in force, or null while there is none.
  virtual std::shared_ptr<const ConfigSnapshot> Config() const = 0;
  /// The session with the cell's leader, or null if the cell is unknown.
  virtual std::shared_ptr<CellSession> Session(const CellId& cell) const = 0;
};

/// What the service uses. All of it must outlive the service.
struct ChatServices {
  WorkerPool& pool;
  HttpClient& client;
  const Clock& clock;
  const ChatDirectory& directory;
  Telemetry& telemetry;
};

/// The service's limits.
struct ChatOptions {
  DurationMs default_deadline{60'000};
  /// Requests that run at once; further ones wait in a short queue.
  std::size_t max_requests = 10'000;
};

/// What a request is, once it has been found valid.
struct ChatJob {
  RequestId id;
  /// The id that engines know the request by.
  RequestId generation;
  /// The last event that a caller which reconnects has taken.
  std::optional<StreamEventId> resume;
  ChatRequest request;
  AdapterVersion target;
  Priority priority = Priority::kNormal;
  std::shared_ptr<CellSession> session;
  TimeMs deadline;
  /// The request's telemetry; outlives the job.
  RequestScope* scope = nullptr;
};

/// The chat service.
class ChatService {
 public:
  ChatService(ChatServices services, ChatOptions options);
  ~ChatService();

  /// Answers one POST /v1/chat/completions. \p id names the request in every
  /// hop.
  Awaitable<void> Handle(HttpExchange& exchange, RequestId id);

  /// Forgets old events.
  void Tick();

  /// Requests that run.
  std::size_t active() const;

 private:
  /// Waits for the request's turn; returns why it is refused, if it is.
  Awaitable<std::optional<ApiError>> Admit(HttpExchange& exchange,
                                           const ChatJob& job,
                                           std::optional<AdmissionPass>& pass);
  Awaitable<void> AnswerAdmitted(HttpExchange& exchange, const ChatJob& job);
  /// Fills in the job, or returns why the request is refused.
  std::optional<ApiError> Prepare(const HttpRequest& request, ChatJob& job);
  /// Reads what the caller's headers ask for.
  Findings ReadHeaders(const HttpRequest& request, ChatJob& job) const;
  /// Finds the target: that of the stream to go on with, or the one asked for.
  static std::optional<AdapterVersion> ResolveTarget(
      const ConfigSnapshot& config, const ChatJob& job);

  ChatServices m_services;
  ChatOptions m_options;
  std::unique_ptr<ResumeStore> m_resume;
  std::unique_ptr<AdmissionGate> m_gate;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_GATEWAY_CHAT_SERVICE_H_
