/// \file
/// \brief Implementation of the exporter to a collector.

#include "yuccamoor/transport/observability/collector_span_exporter.h"

#include <algorithm>
#include <atomic>
#include <iterator>
#include <mutex>
#include <utility>
#include <vector>

#include "yuccamoor/transport/http_client.h"
#include "yuccamoor/transport/worker_pool.h"

namespace yuccamoor {
namespace {

constexpr const char* kTracesPath = "/v1/traces";
constexpr int kFirstErrorStatus = 300;

class CollectorSpanExporter final : public SpanExporter {
 public:
  CollectorSpanExporter(SpanCollectorOptions options, WorkerPool& pool,
                        HttpClient& client)
      : m_options(std::move(options)), m_pool(pool), m_client(client) {}

  void Export(SpanRecord span) override {
    {
      const std::lock_guard lock(m_mutex);
      if (m_queue.size() >= m_options.queue_limit) {
        ++m_dropped;
        return;
      }
      m_queue.push_back(std::move(span));
      if (std::exchange(m_sending, true)) return;
    }
    m_pool.Spawn([this] { return SendAll(); });
  }

  std::uint64_t dropped() const override { return m_dropped; }

 private:
  Awaitable<void> SendAll() {
    co_await SleepFor(m_options.gather_time);
    for (;;) {
      const std::vector<SpanRecord> batch = TakeBatch();
      if (batch.empty()) co_return;
      const bool sent = co_await Send(batch);
      if (sent) continue;
      m_dropped += batch.size();
      co_await SleepFor(m_options.retry_interval);
    }
  }

  /// Returns the oldest spans; none ends the sending.
  std::vector<SpanRecord> TakeBatch() {
    const std::lock_guard lock(m_mutex);
    const std::size_t size = std::min(m_queue.size(), m_options.batch_limit);
    const auto end = m_queue.begin() + static_cast<std::ptrdiff_t>(size);
    std::vector<SpanRecord> batch(std::make_move_iterator(m_queue.begin()),
                                  std::make_move_iterator(end));
    m_queue.erase(m_queue.begin(), end);
    m_sending = !batch.empty();
    return batch;
  }

  Awaitable<bool> Send(const std::vector<SpanRecord>& batch) {
    HttpRequest request;
    request.method = "POST";
    request.target = kTracesPath;
    request.headers.Add("Content-Type", "application/json");
    request.body = EncodeSpans(m_options.service, batch);
    HttpCallOptions options;
    options.timeout = m_options.timeout;
    const HttpReply reply = co_await m_client.Call(
        m_options.address, std::move(request), std::move(options));
    co_return reply.progress ==
        HttpProgress::kAnswered&& reply.response.status < kFirstErrorStatus;
  }

  const SpanCollectorOptions m_options;
  WorkerPool& m_pool;
  HttpClient& m_client;
  std::atomic<std::uint64_t> m_dropped{0};
  std::mutex m_mutex;
  // Guarded by the mutex.
  std::vector<SpanRecord> m_queue;
  bool m_sending = false;
};

}  // namespace

std::unique_ptr<SpanExporter> MakeCollectorSpanExporter(
    const SpanCollectorOptions& options, WorkerPool& pool, HttpClient& client) {
  return std::make_unique<CollectorSpanExporter>(options, pool, client);
}

}  // namespace yuccamoor
