/// \file
/// \brief Implementation of the worker pool.

#include "yuccamoor/transport/worker_pool.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cassert>
#include <chrono>
#include <exception>

#include "yuccamoor/transport/observability/log_event.h"

namespace yuccamoor {
namespace {

void LogException(const std::exception_ptr& exception) {
  if (!exception) return;
  try {
    std::rethrow_exception(exception);
  } catch (const std::exception& error) {
    LogEvent("coroutine_failed", LogLevel::kError).Field("error", error.what());
  }
}

/// Runs the task; one that throws is run again at its next time.
void RunTask(const std::function<void()>& task) {
  try {
    task();
  } catch (const std::exception& error) {
    LogEvent("periodic_task_failed", LogLevel::kError)
        .Field("error", error.what());
  }
}

Awaitable<void> Repeat(DurationMs interval, std::function<void()> task) {
  for (;;) {
    co_await SleepFor(interval);
    RunTask(task);
  }
}

}  // namespace

/// A context whose pending work can be dropped apart from its destruction.
class WorkerPool::ClosableContext : public asio::io_context {
 public:
  using asio::io_context::io_context;

  void Close() { shutdown(); }
};

WorkerPool::WorkerPool(std::size_t threads) {
  assert(threads > 0 && "a pool needs a thread");
  constexpr int kThreadsPerContext = 1;
  for (std::size_t i = 0; i < threads; ++i) {
    m_contexts.push_back(std::make_unique<ClosableContext>(kThreadsPerContext));
  }
}

WorkerPool::~WorkerPool() {
  Stop();
  // Coroutines that are dropped may own sockets of other contexts: all of them
  // go before the first context does.
  for (const auto& context : m_contexts) context->Close();
}

asio::io_context& WorkerPool::Context(std::size_t index) {
  return *m_contexts[index];
}

void WorkerPool::Start() {
  for (const auto& context : m_contexts) {
    m_threads.emplace_back([context = context.get()] {
      const auto guard = asio::make_work_guard(*context);
      context->run();
    });
  }
}

void WorkerPool::Stop() {
  for (const auto& context : m_contexts) context->stop();
  for (std::thread& thread : m_threads) thread.join();
  m_threads.clear();
}

asio::io_context& WorkerPool::NextContext() {
  return *m_contexts[m_next.fetch_add(1) % m_contexts.size()];
}

void WorkerPool::Spawn(std::function<Awaitable<void>()> coroutine) {
  SpawnLogged(NextContext().get_executor(), std::move(coroutine));
}

void WorkerPool::Every(DurationMs interval, std::function<void()> task) {
  Spawn([interval, task = std::move(task)] { return Repeat(interval, task); });
}

void SpawnLogged(const asio::any_io_executor& executor,
                 std::function<Awaitable<void>()> coroutine) {
  asio::co_spawn(executor, std::move(coroutine), LogException);
}

Awaitable<void> SleepFor(DurationMs duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(std::chrono::milliseconds(duration.ms()));
  co_await timer.async_wait(asio::use_awaitable);
}

}  // namespace yuccamoor
