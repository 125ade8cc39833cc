/// \file
/// \brief The threads that run all I/O. Each has an io_context of its own, so
/// that what is bound to one context needs no locks; tables that several
/// threads share have mutexes.

#ifndef YUCCAMOOR_TRANSPORT_WORKER_POOL_H_
#define YUCCAMOOR_TRANSPORT_WORKER_POOL_H_

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/transport/asio.h"

namespace yuccamoor {

/// A fixed number of threads, each running one io_context.
class WorkerPool {
 public:
  /// Makes the contexts; no thread runs before Start.
  explicit WorkerPool(std::size_t threads);
  /// Stops and joins.
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  /// Starts the threads.
  void Start();
  /// Drops all pending work and joins the threads. Idempotent. Must not be
  /// called on one of the pool's threads.
  void Stop();

  std::size_t size() const { return m_contexts.size(); }
  /// Returns the context of the given index.
  asio::io_context& Context(std::size_t index);
  /// Returns the contexts in turn.
  asio::io_context& NextContext();

  /// Runs the coroutine on the next context. An exception that leaves it is
  /// logged.
  void Spawn(std::function<Awaitable<void>()> coroutine);

  /// Calls \p task on one context every \p interval until the pool stops.
  void Every(DurationMs interval, std::function<void()> task);

 private:
  class ClosableContext;

  std::vector<std::unique_ptr<ClosableContext>> m_contexts;
  std::vector<std::thread> m_threads;
  std::atomic<std::size_t> m_next{0};
};

/// Runs the coroutine on the given executor's context and logs an exception
/// that leaves it.
void SpawnLogged(const asio::any_io_executor& executor,
                 std::function<Awaitable<void>()> coroutine);

/// Waits for the given time on the current context.
Awaitable<void> SleepFor(DurationMs duration);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_WORKER_POOL_H_
