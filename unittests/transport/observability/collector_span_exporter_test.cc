/// \file
/// \brief Tests of the exporter to a collector, against an HTTP server.

#include "yuccamoor/transport/observability/collector_span_exporter.h"

#include <catch2/catch.hpp>
#include <condition_variable>
#include <mutex>

#include "yuccamoor/protocol/json.h"
#include "yuccamoor/transport/http_client.h"
#include "yuccamoor/transport/http_server.h"
#include "yuccamoor/transport/worker_pool.h"

namespace yuccamoor {
namespace {

/// A collector that keeps the names of the spans of each request.
class Collector {
 public:
  explicit Collector(int status)
      : m_status(status),
        m_pool(2),
        m_client(HttpClient::Create(m_pool)),
        m_server(HttpServer::Create(
                     m_pool, HttpServerOptions(),
                     [this](HttpExchange& exchange) { return Take(exchange); })
                     .value()) {
    m_pool.Start();
  }
  ~Collector() { m_pool.Stop(); }

  std::unique_ptr<SpanExporter> MakeExporter(SpanCollectorOptions options) {
    options.address = "127.0.0.1:" + std::to_string(m_server->port());
    return MakeCollectorSpanExporter(options, m_pool, *m_client);
  }

  void Stop() { m_pool.Stop(); }

  /// Waits until this many requests have come and returns the span names.
  std::vector<std::vector<std::string>> WaitFor(std::size_t requests) {
    std::unique_lock lock(m_mutex);
    m_arrived.wait(lock, [&] { return m_requests.size() >= requests; });
    return m_requests;
  }

 private:
  Awaitable<void> Take(HttpExchange& exchange) {
    std::vector<std::string> names;
    if (exchange.request().target == "/v1/traces") {
      const Json json = Json::parse(exchange.request().body);
      for (const Json& span :
           json["resourceSpans"][0]["scopeSpans"][0]["spans"]) {
        names.push_back(span["name"]);
      }
    }
    HttpResponse response;
    response.status = m_status;
    co_await exchange.Send(std::move(response));
    const std::lock_guard lock(m_mutex);
    m_requests.push_back(std::move(names));
    m_arrived.notify_all();
  }

  const int m_status;
  WorkerPool m_pool;
  std::unique_ptr<HttpClient> m_client;
  std::unique_ptr<HttpServer> m_server;
  std::mutex m_mutex;
  std::condition_variable m_arrived;
  // Guarded by the mutex.
  std::vector<std::vector<std::string>> m_requests;
};

SpanRecord NamedSpan(const std::string& name) {
  SpanRecord span;
  span.name = name;
  return span;
}

SpanCollectorOptions SmallBatches() {
  SpanCollectorOptions options;
  options.service = "gateway";
  options.queue_limit = 3;
  options.batch_limit = 2;
  options.retry_interval = DurationMs(1);
  return options;
}

}  // namespace

TEST_CASE("Spans reach the collector in order, in bounded batches", "[trace]") {
  Collector collector(200);
  const auto exporter = collector.MakeExporter(SmallBatches());
  for (const char* name : {"a", "b", "c"}) exporter->Export(NamedSpan(name));
  const auto requests = collector.WaitFor(2);
  CHECK(requests[0] == std::vector<std::string>{"a", "b"});
  CHECK(requests[1] == std::vector<std::string>{"c"});
  exporter->Export(NamedSpan("later"));
  CHECK(collector.WaitFor(3)[2] == std::vector<std::string>{"later"});
  CHECK(exporter->dropped() == 0);
  collector.Stop();
}

TEST_CASE(
    "Spans that the collector refuses are dropped, counted, and not sent "
    "again",
    "[trace]") {
  Collector collector(503);
  const auto exporter = collector.MakeExporter(SmallBatches());
  exporter->Export(NamedSpan("refused"));
  collector.WaitFor(1);
  // The next batch is sent only after the refusal was counted.
  exporter->Export(NamedSpan("next"));
  const auto requests = collector.WaitFor(2);
  CHECK(requests[1] == std::vector<std::string>{"next"});
  CHECK(exporter->dropped() >= 1);
  collector.Stop();
}

TEST_CASE("An export never waits: spans above the limit are dropped",
          "[trace]") {
  Collector collector(200);
  // Without its threads the collector never answers.
  collector.Stop();
  const auto exporter = collector.MakeExporter(SmallBatches());
  for (int i = 0; i < 5; ++i) exporter->Export(NamedSpan("span"));
  CHECK(exporter->dropped() == 2);
}

}  // namespace yuccamoor
