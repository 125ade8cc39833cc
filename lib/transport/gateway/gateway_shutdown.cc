/// \file
/// \brief The gateway's graceful shutdown.

#include <atomic>
#include <chrono>
#include <cstddef>
#include <thread>
#include <utility>

#include "yuccamoor/transport/gateway/api_response.h"
#include "yuccamoor/transport/gateway/gateway.h"
#include "yuccamoor/transport/gateway/service_proxy.h"
#include "yuccamoor/transport/gateway/shard_host.h"

namespace yuccamoor {
namespace {

/// Counts a request that another gateway has forwarded while it is served.
class ForwardedGuard {
 public:
  explicit ForwardedGuard(std::atomic<std::size_t>& count) : m_count(count) {
    ++m_count;
  }
  ~ForwardedGuard() { --m_count; }
  ForwardedGuard(const ForwardedGuard&) = delete;
  ForwardedGuard& operator=(const ForwardedGuard&) = delete;

 private:
  std::atomic<std::size_t>& m_count;
};

}  // namespace

Awaitable<void> Gateway::HandleForwarded(HttpExchange& exchange) {
  const ForwardedGuard guard(m_forwarded);
  if (m_taking_forwarded) {
    co_await Handle(exchange);
    co_return;
  }
  HttpResponse refusal = ErrorResponse(
      MakeApiError(503, "not_ready", "this gateway is shutting down"));
  refusal.headers.Add(kNotTakenHeader, "true");
  co_await exchange.Send(std::move(refusal));
}

ShutdownLoad Gateway::Load() const {
  ShutdownLoad load;
  load.requests_in_flight = m_server->active_exchanges() + m_forwarded;
  load.unwritten_outcomes = !m_shards->Idle();
  return load;
}

bool Gateway::Shutdown() {
  constexpr auto kPollInterval = std::chrono::milliseconds(20);
  const Clock& clock = m_daemon->clock();
  ShutdownOptions options;
  options.unready_time = m_settings.daemon.unready_time;
  options.grace = m_settings.daemon.shutdown_grace;
  ShutdownSequence sequence(options);
  m_daemon->SetDraining();
  sequence.Begin(clock.Now());
  for (;;) {
    const ShutdownPhase phase = sequence.Advance(Load(), clock.Now());
    if (phase == ShutdownPhase::kDraining) {
      m_server->Drain();
      m_taking_forwarded = false;
    }
    if (phase >= ShutdownPhase::kDone) break;
    std::this_thread::sleep_for(kPollInterval);
  }
  m_daemon->Stop();
  return sequence.phase() == ShutdownPhase::kDone;
}

}  // namespace yuccamoor
