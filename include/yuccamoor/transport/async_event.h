/// \file
/// \brief An event that a coroutine waits for and any thread signals.

#ifndef YUCCAMOOR_TRANSPORT_ASYNC_EVENT_H_
#define YUCCAMOOR_TRANSPORT_ASYNC_EVENT_H_

#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/transport/asio.h"

namespace yuccamoor {

/// Wakes one coroutine. A signal that comes before the wait is kept. Held by
/// shared pointer, as the signalling side may outlive the waiting one.
class AsyncEvent : public std::enable_shared_from_this<AsyncEvent> {
 public:
  /// Makes an event for a coroutine on the given executor.
  static std::shared_ptr<AsyncEvent> Create(
      const asio::any_io_executor& executor);

  /// Signals the event. Safe to call from any thread.
  void Notify();

  /// Waits for a signal or the end of the time; returns whether a signal came,
  /// and clears it. Called only by the coroutine that owns the event.
  Awaitable<bool> WaitFor(DurationMs timeout);

 private:
  explicit AsyncEvent(const asio::any_io_executor& executor);

  asio::steady_timer m_timer;
  // Touched only on the event's own context.
  bool m_signalled = false;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_ASYNC_EVENT_H_
