/// \file
/// \brief Implementation of the callers.

#include "load.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <latch>
#include <memory>
#include <mutex>
#include <string_view>
#include <vector>

#include "yuccamoor/transport/http_client.h"
#include "yuccamoor/transport/worker_pool.h"

namespace yuccamoor {
namespace {

using SteadyTime = std::chrono::steady_clock::time_point;
constexpr DurationMs kTimeout(30'000);

std::size_t CountEvents(std::string_view body) {
  constexpr std::string_view kEnd = "\n\n";
  std::size_t count = 0;
  for (std::size_t at = body.find(kEnd); at != std::string_view::npos;
       at = body.find(kEnd, at + kEnd.size())) {
    ++count;
  }
  return count;
}

/// What all callers share.
struct Book {
  explicit Book(std::size_t callers)
      : left(static_cast<std::ptrdiff_t>(callers)) {}

  std::atomic<std::uint64_t> number{0};
  std::latch left;
  std::mutex mutex;
  LoadResult result;
  std::vector<double> first_event_ms;
};

/// Asks once. An event that lies across two pieces of the body is not counted;
/// each event is written as one chunk.
Awaitable<void> AskOnce(HttpClient& client, const LoadPlan& plan, Book& book) {
  const SteadyTime start = std::chrono::steady_clock::now();
  HttpCallOptions options;
  options.timeout = kTimeout;
  HttpRequest request = plan.request(++book.number);
  const auto stream =
      co_await client.Open(plan.address, std::move(request), options);
  double first_ms = 0;
  std::size_t events = 0;
  while (const auto piece = co_await stream->Read(kTimeout)) {
    if (events == 0) {
      const auto spent = std::chrono::steady_clock::now() - start;
      first_ms = std::chrono::duration<double, std::milli>(spent).count();
    }
    events += CountEvents(*piece);
  }
  const bool whole = stream->head().status == 200 && stream->whole();
  const std::lock_guard lock(book.mutex);
  ++(whole ? book.result.answers : book.result.failures);
  book.result.events += events;
  if (whole) book.first_event_ms.push_back(first_ms);
}

double Percentile(std::vector<double>& values, double share) {
  if (values.empty()) return 0;
  const auto last = static_cast<double>(values.size() - 1);
  const auto at = values.begin() + static_cast<std::ptrdiff_t>(last * share);
  std::nth_element(values.begin(), at, values.end());
  return *at;
}

}  // namespace

LoadResult RunLoad(const LoadPlan& plan, std::size_t threads) {
  WorkerPool pool(threads);
  const auto client = HttpClient::Create(pool);
  Book book(plan.callers);
  const SteadyTime start = std::chrono::steady_clock::now();
  const SteadyTime end = start + std::chrono::milliseconds(plan.duration.ms());
  for (std::size_t i = 0; i < plan.callers; ++i) {
    pool.Spawn([&book, &plan, &client, end]() -> Awaitable<void> {
      while (std::chrono::steady_clock::now() < end) {
        co_await AskOnce(*client, plan, book);
      }
      book.left.count_down();
    });
  }
  pool.Start();
  book.left.wait();
  const std::chrono::duration<double> spent =
      std::chrono::steady_clock::now() - start;
  pool.Stop();
  LoadResult result = book.result;
  result.events_per_second = static_cast<double>(result.events) / spent.count();
  result.first_event_p50_ms = Percentile(book.first_event_ms, 0.5);
  result.first_event_p99_ms = Percentile(book.first_event_ms, 0.99);
  return result;
}

}  // namespace yuccamoor
